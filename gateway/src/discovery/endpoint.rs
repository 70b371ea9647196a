//! Endpoints and events of the endpoint list, and their JSON representation.

use std::net::SocketAddr;

use tinyjson::JsonValue;
use workload_manager::EndpointState;

use crate::json::{self, JsonError, JsonField};

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the engine.
    pub name: String,
    /// Address of the engine's HTTP interface. 127.0.0.1:0 if the entry of a removed engine has no address.
    pub address: SocketAddr,
    /// Name of the zone. May be empty.
    pub zone: String,
    /// Name of the machine type. May be empty.
    pub machine_type: String,
    /// Number of the cell within which engines share idempotency keys.
    pub cell: u64,
    /// Only a ready engine receives new attempts.
    pub state: EndpointState,
    /// Start of the engine's process, in Unix milliseconds. 0: the engine started long ago.
    pub started_ms: u64,
}

/// An event of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListEvent {
    /// Number of the event, one more than that of the previous event. 0 in an event of the gateway itself.
    pub index: u64,
    /// Whether the entries are the whole list. Otherwise they are the changes since the previous event.
    pub is_full: bool,
    /// Entries in the order of the event.
    pub entries: Vec<Endpoint>,
    /// Entries that can't be read. They don't prevent the other entries from being applied.
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry of an event that can't be read.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableEntry {
    /// Name of the engine. `None` if the name can't be read either.
    pub name: Option<String>,
    /// Error text with the path of the value in the event.
    pub error: String,
}

/// Reads an event, `{"index":N,"endpoints":{"snapshot":..,"endpoints":[..]}}`. Entries that can't be read are collected
/// in [`EndpointListEvent::unreadable`].
///
/// # Errors
/// `index`, `snapshot` or the array of entries can't be read.
pub fn read_event(event: &JsonField<'_>) -> Result<EndpointListEvent, JsonError> {
    let body = event.get("endpoints");
    let (mut entries, mut unreadable) = (Vec::new(), Vec::new());
    for entry in body.get("endpoints").elements()? {
        match read_endpoint(&entry) {
            Ok(endpoint) => entries.push(endpoint),
            Err(e) => unreadable
                .push(UnreadableEntry { name: entry.get("name").string().ok(), error: e.to_string() }),
        }
    }
    let (index, is_full) = (event.get("index").number()? as u64, body.get("snapshot").flag()?);
    Ok(EndpointListEvent { index, is_full, entries, unreadable })
}

/// Parses the JSON text of an event.
///
/// # Errors
/// The text is not JSON, or not an event: see [`read_event`].
pub fn parse_event(text: &str) -> Result<EndpointListEvent, JsonError> {
    read_event(&JsonField::root(&json::parse(text, "event")?, "event"))
}

/// Names of the states in JSON.
const STATES: [(EndpointState, &str); 3] = [
    (EndpointState::Ready, "Ready"),
    (EndpointState::Draining, "Terminating"),
    (EndpointState::Removed, "Gone"),
];

/// Converts an entry of the list into the JSON that [`read_endpoint`] reads.
pub fn endpoint_to_json(endpoint: &Endpoint) -> JsonValue {
    let string = |text: &str| JsonValue::String(text.to_owned());
    // Exact up to 2^53.
    let number = |n: u64| JsonValue::Number(n as f64);
    let state = STATES.iter().find(|(state, _)| *state == endpoint.state).map_or("", |(_, name)| *name);
    let members = [
        ("name", string(&endpoint.name)),
        ("address", string(&endpoint.address.to_string())),
        ("zone", string(&endpoint.zone)),
        ("type", string(&endpoint.machine_type)),
        ("group", number(endpoint.cell)),
        ("status", string(state)),
        ("since_ms", number(endpoint.started_ms)),
    ];
    JsonValue::Object(members.map(|(name, value)| (name.to_owned(), value)).into())
}

/// Reads an entry of the list.
///
/// # Errors
/// The name, the state, or the address of an engine that is not removed is missing, or a value can't be read.
pub fn read_endpoint(entry: &JsonField<'_>) -> Result<Endpoint, JsonError> {
    let status = entry.get("status");
    let name = status.string()?;
    let state = STATES.iter().find(|(_, state_name)| *state_name == name).map(|(state, _)| *state);
    let state = state.ok_or_else(|| status.expected("Ready, Terminating or Gone"))?;
    let address = entry.get("address");
    // A removed endpoint needs no address.
    let address = if state == EndpointState::Removed && !address.is_present() {
        SocketAddr::from(([127, 0, 0, 1], 0))
    } else {
        address.socket_address()?
    };
    Ok(Endpoint {
        name: entry.get("name").string()?,
        address,
        zone: entry.get("zone").string_or_empty()?,
        machine_type: entry.get("type").string_or_empty()?,
        cell: entry.get("group").number_or(0.0)? as u64,
        state,
        started_ms: entry.get("since_ms").number_or(0.0)? as u64,
    })
}

#[cfg(test)]
mod tests;

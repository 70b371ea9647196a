//! Reader of `config.json`, which the platform provides. The module `site` reads its `settings` object.

use tinyjson::JsonValue;

use super::site::read_site_settings;
use super::{ClientSettings, Config, ConfigError, KnownList};
use crate::discovery::{EndpointListEvent, read_event};
use crate::json::{self, JsonField};

/// Parses a JSON file.
pub(super) fn parse_file(path: &str) -> Result<JsonValue, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::File { path: path.to_owned(), source })?;
    Ok(json::parse(&text, path)?)
}

/// Reads a configuration from a file.
///
/// # Errors
/// The file can't be read, is not JSON, or has a missing or invalid value.
pub fn from_file(path: &str) -> Result<Config, ConfigError> {
    let json = parse_file(path)?;
    Ok(Config { path: Some(path.to_owned()), ..read(&JsonField::root(&json, "config"))? })
}

/// Reads a configuration from a JSON document.
///
/// # Errors
/// A value is missing or invalid.
pub fn read(config: &JsonField<'_>) -> Result<Config, ConfigError> {
    let site = read_site_settings(&config.get("settings"))?;
    let seed = config.get("seed").string()?;
    let limits = config.get("limits");
    Ok(Config {
        path: None,
        name: config.get("name").string_or_empty()?,
        listen: config.get("listen").socket_address()?,
        admin: config.get("ops").optional_socket_address()?,
        seed: u64::from_str_radix(&seed, 16).map_err(|_| config.get("seed").expected("16 hex digits"))?,
        max_descriptors: limits.get("sockets").number_or(1024.0)? as usize,
        memory_bytes: (limits.get("memory_mb").number_or(192.0)? * f64::from(1 << 20)) as usize,
        discovery: config.get("coordinator").optional_socket_address()?,
        known_list: read_known_list(&config.get("known"))?,
        settings: site.settings,
        names: site.names,
        engine_idle_timeout_us: site.engine_idle_timeout_us,
        connect_timeout_us: site.connect_timeout_us,
        max_open_requests: site.max_open_requests,
        clients: ClientSettings::default(),
        mysql: None,
        control_plane: None,
    })
}

/// Reads the events of the endpoint list up to the first one that can't be read. Such an event does not prevent the
/// start, because a gateway with an incomplete list can still serve clients. The discovery service is requested to send
/// the rest.
fn read_known_list(known: &JsonField<'_>) -> Result<KnownList, ConfigError> {
    let mut events: Vec<EndpointListEvent> = Vec::new();
    for event in known.get("updates").elements()? {
        match read_event(&event) {
            Ok(event) => events.push(event),
            Err(error) => {
                // The discovery service is requested to send the remaining events.
                tracing::warn!(%error, "event of the known endpoint list can't be read");
                return Ok(KnownList { last_index: events.last().map_or(0, |event| event.index), events });
            }
        }
    }
    Ok(KnownList { last_index: known.get("index").number_or(0.0)? as u64, events })
}

#[cfg(test)]
mod tests;

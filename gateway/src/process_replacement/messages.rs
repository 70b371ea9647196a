//! The messages between the processes of a replacement: one JSON object a line.
//!
//! The successor sends [`Message::Hello`]. The predecessor answers with any number of [`Message::KnownEngine`],
//! [`Message::Endpoint`] and [`Message::MaintenanceBegan`], and ends its state with [`Message::EndOfState`]. The
//! successor says [`Message::AcceptingClients`] once it serves. From then on either side may send any of the others.
//! Programs of two releases talk to each other, so members may be added, but none may change; a reader ignores members
//! that it doesn't know and takes absent flags as false.

use std::net::SocketAddr;

use tinyjson::JsonValue;
use workload_manager::KeyId;

use crate::discovery::{Endpoint, endpoint_to_json, read_endpoint};
use crate::json::{JsonError, JsonField};

/// The version of the protocol. No other one is understood.
pub const PROTOCOL_VERSION: u32 = 1;

/// An unfinished line longer than this is an error, in bytes.
const MAX_LINE_BYTES: usize = 8192;

/// The members of messages; the first of each message says which message it is.
mod member {
    pub const HELLO: &str = "hello";
    pub const LISTEN: &str = "listen";
    pub const VERSION: &str = "form";
    pub const KNOWN_ENGINE: &str = "known";
    pub const ENDPOINT: &str = "listed";
    pub const MAINTENANCE_BEGAN: &str = "enter";
    pub const MAINTENANCE_ENDED: &str = "exit";
    pub const MILLISECONDS: &str = "ms";
    pub const END_OF_STATE: &str = "end";
    pub const CANCEL_REQUESTS: &str = "cancels";
    pub const KEY_LEASES: &str = "leases";
    pub const CANCEL_SESSION: &str = "cancel";
    pub const CANCEL_SECRET: &str = "secret";
    pub const ACCEPTING_CLIENTS: &str = "taking";
    pub const CLAIM_LEASE: &str = "claim";
    pub const GRANT_LEASE: &str = "grant";
    pub const EXITING: &str = "settled";
}

/// What a process understands beyond maintenance calls. Earlier releases understand neither.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerFeatures {
    /// [`Message::CancelRequest`].
    pub cancel_requests: bool,
    /// [`Message::ClaimLease`], [`Message::GrantLease`] and [`Message::Exiting`].
    pub key_leases: bool,
}

/// A message between the processes of a replacement. Times are Unix milliseconds, exact up to 2^53.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The sender wants to replace the receiver.
    Hello {
        /// The gateway's name.
        gateway: String,
        /// Where its PostgreSQL clients connect.
        listen_address: SocketAddr,
    },
    /// The endpoint list has had an engine of this name.
    KnownEngine {
        /// Its name.
        name: String,
        /// When its last maintenance ended; 0: it had none.
        maintenance_end_ms: u64,
    },
    /// An entry of the endpoint list.
    Endpoint(Endpoint),
    /// An engine is in maintenance.
    MaintenanceBegan {
        /// Its name.
        engine: String,
    },
    /// An engine is no longer in maintenance.
    MaintenanceEnded {
        /// Its name.
        engine: String,
        /// Since when.
        end_ms: u64,
    },
    /// The predecessor has sent all of its state.
    EndOfState(PeerFeatures),
    /// The successor got a CancelRequest for a session that it doesn't have; the predecessor may have it.
    CancelRequest {
        /// The session's number.
        session: u32,
        /// The session's secret.
        secret: u32,
    },
    /// The successor accepts clients.
    AcceptingClients {
        /// It claims the leases of keys before it runs their requests.
        key_leases: bool,
    },
    /// The sender claims the lease of a key.
    ClaimLease(KeyId),
    /// The sender grants the lease of a key to the receiver.
    GrantLease(KeyId),
    /// The sender exits.
    Exiting {
        /// What it leaves running at engines is over after this time, with the key cooldown, in milliseconds.
        cooldown_ms: u64,
    },
}

/// Why input can't be read.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum MessageError {
    /// A line is too long.
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A line is not a message: it is no JSON object, or a member is missing or of another type.
    #[error("a line is not a message of a process replacement")]
    Malformed,
    /// The sender speaks another version of the protocol.
    #[error("protocol version {0} is not {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
}

impl From<JsonError> for MessageError {
    fn from(_: JsonError) -> Self {
        Self::Malformed
    }
}

impl Message {
    /// Appends the message's line.
    pub fn write(&self, output: &mut Vec<u8>) {
        let object = self.members().into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        if let Ok(line) = JsonValue::Object(object).stringify() {
            output.extend(line.as_bytes());
            output.push(b'\n');
        }
    }

    fn members(&self) -> Vec<(&'static str, JsonValue)> {
        let string = |text: &str| JsonValue::String(text.to_owned());
        let number = |n: u64| JsonValue::Number(n as f64);
        let flag = JsonValue::Boolean;
        match self {
            Message::Hello { gateway, listen_address } => vec![
                (member::HELLO, string(gateway)),
                (member::LISTEN, string(&listen_address.to_string())),
                (member::VERSION, number(u64::from(PROTOCOL_VERSION))),
            ],
            Message::KnownEngine { name, maintenance_end_ms } => vec![
                (member::KNOWN_ENGINE, string(name)),
                (member::MILLISECONDS, number(*maintenance_end_ms)),
            ],
            Message::Endpoint(endpoint) => vec![(member::ENDPOINT, endpoint_to_json(endpoint))],
            Message::MaintenanceBegan { engine } => vec![(member::MAINTENANCE_BEGAN, string(engine))],
            Message::MaintenanceEnded { engine, end_ms } => {
                vec![(member::MAINTENANCE_ENDED, string(engine)), (member::MILLISECONDS, number(*end_ms))]
            }
            Message::EndOfState(features) => vec![
                (member::END_OF_STATE, flag(true)),
                (member::CANCEL_REQUESTS, flag(features.cancel_requests)),
                (member::KEY_LEASES, flag(features.key_leases)),
            ],
            Message::CancelRequest { session, secret } => vec![
                (member::CANCEL_SESSION, number(u64::from(*session))),
                (member::CANCEL_SECRET, number(u64::from(*secret))),
            ],
            Message::AcceptingClients { key_leases } => {
                vec![(member::ACCEPTING_CLIENTS, flag(true)), (member::KEY_LEASES, flag(*key_leases))]
            }
            Message::ClaimLease(key) => vec![(member::CLAIM_LEASE, string(&key_to_text(*key)))],
            Message::GrantLease(key) => vec![(member::GRANT_LEASE, string(&key_to_text(*key)))],
            Message::Exiting { cooldown_ms } => {
                vec![(member::EXITING, flag(true)), (member::MILLISECONDS, number(*cooldown_ms))]
            }
        }
    }

    fn parse(line: &[u8]) -> Result<Self, MessageError> {
        let text = std::str::from_utf8(line).map_err(|_| MessageError::Malformed)?;
        let json: JsonValue = text.parse().map_err(|_| MessageError::Malformed)?;
        let root = JsonField::root(&json, "message");
        let is = |name: &str| root.get(name).is_present();
        let string = |name: &str| root.get(name).string();
        let flag = |name: &str| root.get(name).flag();
        let number = |name: &str| root.get(name).number();
        let milliseconds = || root.get(member::MILLISECONDS).number().map(|n| n as u64);
        Ok(match () {
            () if is(member::HELLO) => {
                let version = number(member::VERSION)? as u32;
                if version != PROTOCOL_VERSION {
                    return Err(MessageError::UnsupportedVersion(version));
                }
                let listen_address = root.get(member::LISTEN).socket_address()?;
                Message::Hello { gateway: string(member::HELLO)?, listen_address }
            }
            () if is(member::KNOWN_ENGINE) => Message::KnownEngine {
                name: string(member::KNOWN_ENGINE)?,
                maintenance_end_ms: milliseconds()?,
            },
            () if is(member::ENDPOINT) => Message::Endpoint(read_endpoint(&root.get(member::ENDPOINT))?),
            () if is(member::MAINTENANCE_BEGAN) => {
                Message::MaintenanceBegan { engine: string(member::MAINTENANCE_BEGAN)? }
            }
            () if is(member::MAINTENANCE_ENDED) => Message::MaintenanceEnded {
                engine: string(member::MAINTENANCE_ENDED)?,
                end_ms: milliseconds()?,
            },
            () if is(member::END_OF_STATE) => Message::EndOfState(PeerFeatures {
                cancel_requests: flag(member::CANCEL_REQUESTS)?,
                key_leases: flag(member::KEY_LEASES)?,
            }),
            () if is(member::CANCEL_SESSION) => Message::CancelRequest {
                session: number(member::CANCEL_SESSION)? as u32,
                secret: number(member::CANCEL_SECRET)? as u32,
            },
            () if is(member::ACCEPTING_CLIENTS) => {
                Message::AcceptingClients { key_leases: flag(member::KEY_LEASES)? }
            }
            () if is(member::CLAIM_LEASE) => Message::ClaimLease(parse_key(&string(member::CLAIM_LEASE)?)?),
            () if is(member::GRANT_LEASE) => Message::GrantLease(parse_key(&string(member::GRANT_LEASE)?)?),
            () if is(member::EXITING) => Message::Exiting { cooldown_ms: milliseconds()? },
            () => return Err(MessageError::Malformed),
        })
    }
}

/// A key as 16 hexadecimal digits, as a JSON number would not hold it.
fn key_to_text(key: KeyId) -> String {
    format!("{:016x}", key.0)
}

fn parse_key(digits: &str) -> Result<KeyId, MessageError> {
    u64::from_str_radix(digits, 16).map(KeyId).map_err(|_| MessageError::Malformed)
}

/// Takes the next complete message from the input; `None` while there is none.
///
/// # Errors
/// The input can't be read; nothing behind the error can be read either.
pub fn read_next(input: &mut Vec<u8>) -> Result<Option<Message>, MessageError> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES { Err(MessageError::LineTooLong) } else { Ok(None) };
    };
    let message = Message::parse(&input[..end])?;
    input.drain(..=end);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;

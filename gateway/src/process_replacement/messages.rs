//! Messages between the processes of a replacement, encoded as one JSON object per line.
//!
//! The successor sends [`Message::Hello`]. The predecessor responds with any number of [`Message::KnownEngine`],
//! [`Message::Endpoint`] and [`Message::MaintenanceBegan`], and then [`Message::EndOfState`]. The successor sends
//! [`Message::AcceptingClients`] once it accepts clients. From the end of the state on, either side may send messages
//! on maintenance. After [`Message::AcceptingClients`], either side may also send messages on leases and on its exit,
//! and the successor may send [`Message::CancelRequest`].
//!
//! The two processes may be of different releases, so members may be added but not changed. A reader ignores unknown
//! members and treats absent flags as false. An unknown message is an error, so a message that earlier releases lack is
//! sent only to a peer that supports it according to its [`PeerFeatures`].

use std::net::SocketAddr;

use tinyjson::JsonValue;
use workload_manager::KeyId;

use crate::discovery::{Endpoint, endpoint_to_json, read_endpoint};
use crate::json::{JsonError, JsonField};

/// Protocol version of this release. Other versions are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum length of an incomplete line, in bytes.
const MAX_LINE_BYTES: usize = 8192;

/// Member names of messages. The member that is written first in `Message::members` identifies the message.
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

/// Optional messages that a process supports. Earlier releases support neither.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerFeatures {
    /// Support of [`Message::CancelRequest`].
    pub cancel_requests: bool,
    /// Support of [`Message::ClaimLease`], [`Message::GrantLease`] and [`Message::Exiting`].
    pub key_leases: bool,
}

/// A message between the processes of a replacement. Points in time are Unix milliseconds. Numbers are exact up to
/// 2^53.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The sender requests to replace the receiver.
    Hello {
        /// Name of the gateway. Must be equal to the receiver's name.
        gateway: String,
        /// Listen address for PostgreSQL clients. Must be equal to the receiver's, unless the port is 0.
        listen_address: SocketAddr,
    },
    /// The endpoint list contains or has contained an engine of this name.
    KnownEngine {
        /// Name as in the endpoint list.
        name: String,
        /// End of the engine's last maintenance. 0: no maintenance has ended.
        maintenance_end_ms: u64,
    },
    /// An entry of the endpoint list.
    Endpoint(Endpoint),
    /// An engine is in maintenance.
    MaintenanceBegan {
        /// Name as in the endpoint list.
        engine: String,
    },
    /// An engine is no longer in maintenance.
    MaintenanceEnded {
        /// Name as in the endpoint list.
        engine: String,
        /// Time of the end. The engine counts as started at that time.
        end_ms: u64,
    },
    /// The predecessor has sent its whole state. It supports these features.
    EndOfState(PeerFeatures),
    /// The successor has received a CancelRequest for an unknown session, which may be a session of the predecessor.
    CancelRequest {
        /// Process id in the CancelRequest.
        session: u32,
        /// Secret key in the CancelRequest.
        secret: u32,
    },
    /// The successor accepts clients.
    AcceptingClients {
        /// The successor claims the lease of a key before it runs requests of the key.
        key_leases: bool,
    },
    /// The sender claims the lease of a key.
    ClaimLease(KeyId),
    /// The sender grants the lease of a key to the receiver.
    GrantLease(KeyId),
    /// Last message of the sender, which exits.
    Exiting {
        /// Duration after which all attempts of the sender have ended and their key cooldowns are over, in
        /// milliseconds.
        cooldown_ms: u64,
    },
}

/// Error of reading messages.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum MessageError {
    /// An incomplete line exceeds the maximum length.
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A line is not a JSON object, or a member is missing or of the wrong type.
    #[error("a line is not a message of a process replacement")]
    Malformed,
    /// The protocol version in the hello message differs from [`PROTOCOL_VERSION`].
    #[error("protocol version {0} is not {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
}

impl From<JsonError> for MessageError {
    fn from(_: JsonError) -> Self {
        Self::Malformed
    }
}

impl Message {
    /// Appends the encoded message, including the line feed.
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

/// Encodes a key as 16 hexadecimal digits, because a JSON number has only 53 bits of precision.
fn key_to_text(key: KeyId) -> String {
    format!("{:016x}", key.0)
}

fn parse_key(digits: &str) -> Result<KeyId, MessageError> {
    u64::from_str_radix(digits, 16).map(KeyId).map_err(|_| MessageError::Malformed)
}

/// Removes the next complete message from `input`. `None`: no message is complete.
///
/// # Errors
/// The next line is too long, is not a message, or has another protocol version. It stays in `input`, so that the rest
/// can't be read either.
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

//! What two processes of one gateway tell each other while one takes the other's place: lines of JSON, without
//! sockets. The first line names the form, the gateway and its address; the older process answers with all that the
//! newer one must know, and from then on both tell what operators change.

use std::collections::HashMap;
use std::net::SocketAddr;

use tinyjson::JsonValue;
use workload_manager::{EndpointState, KeyId};

use crate::discovery::{Endpoint, read_endpoint};
use crate::json::JsonField;

/// The form of what is told. Another one is not understood.
pub const FORM: u32 = 1;
/// Bytes that one line may have.
const LONGEST_LINE: usize = 8192;

/// What is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The newer process asks for the place, by its gateway's name and address.
    Hello {
        /// The gateway's name.
        name: String,
        /// Where its clients connect.
        listen: SocketAddr,
    },
    /// An engine of this name was listed; when it last came back from being out, in Unix milliseconds, or 0.
    Known(String, u64),
    /// An engine of the list.
    Listed(Endpoint),
    /// An engine is out by hand.
    Enter(String),
    /// It may serve again since this Unix millisecond.
    Exit(String, u64),
    /// Nothing more belongs to the state; what the older process understands, as earlier ones do not know all.
    End {
        /// [`Message::Cancel`].
        cancels: bool,
        /// Leases of keys.
        leases: bool,
    },
    /// The newer process was asked to end a request that it does not know: it may be the older one's.
    Cancel {
        /// The session's number.
        session: u32,
        /// Its secret.
        secret: u32,
    },
    /// The newer process takes clients.
    Taking {
        /// It asks for the leases of keys before it runs requests of theirs.
        leases: bool,
    },
    /// The sender wants the lease of a key.
    Claim(KeyId),
    /// The sender hands the lease of a key over.
    Grant(KeyId),
    /// The sender ends; what it has left running at engines is over after so many milliseconds.
    Settled(u64),
}

/// Why what came is not understood.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum MessageError {
    /// A line without an end.
    #[error("a line does not end")]
    Endless,
    /// It is no JSON, or not what is said here.
    #[error("what came is no message of a handover")]
    Foreign,
    /// It comes from a program that says things otherwise.
    #[error("it speaks form {0}, not {FORM}")]
    Form(u32),
}

impl Message {
    /// Adds the message's line.
    pub fn write(&self, out: &mut Vec<u8>) {
        let text = |t: &str| JsonValue::String(t.to_owned());
        // Exact up to 2^53 milliseconds.
        let number = |n: u64| JsonValue::Number(n as f64);
        let members: Vec<(&str, JsonValue)> = match self {
            Message::Hello { name, listen } => vec![
                ("hello", text(name)),
                ("listen", text(&listen.to_string())),
                ("form", number(u64::from(FORM))),
            ],
            Message::Known(name, back_ms) => vec![("known", text(name)), ("ms", number(*back_ms))],
            Message::Listed(l) => {
                let status = match l.state {
                    EndpointState::Ready => "Ready",
                    EndpointState::Draining => "Terminating",
                    EndpointState::Removed => "Gone",
                };
                let entry = [
                    ("name", text(&l.name)),
                    ("address", text(&l.address.to_string())),
                    ("zone", text(&l.zone)),
                    ("type", text(&l.machine_type)),
                    ("group", number(l.cell)),
                    ("status", text(status)),
                    ("since_ms", number(l.started_ms)),
                ];
                let entry = entry.map(|(key, value)| (key.to_owned(), value));
                vec![("listed", JsonValue::Object(HashMap::from(entry)))]
            }
            Message::Enter(name) => vec![("enter", text(name))],
            Message::Exit(name, ms) => vec![("exit", text(name)), ("ms", number(*ms))],
            Message::End { cancels, leases } => vec![
                ("end", JsonValue::Boolean(true)),
                ("cancels", JsonValue::Boolean(*cancels)),
                ("leases", JsonValue::Boolean(*leases)),
            ],
            Message::Cancel { session, secret } => {
                vec![("cancel", number(u64::from(*session))), ("secret", number(u64::from(*secret)))]
            }
            Message::Taking { leases } => {
                vec![("taking", JsonValue::Boolean(true)), ("leases", JsonValue::Boolean(*leases))]
            }
            Message::Claim(key) => vec![("claim", text(&format!("{:016x}", key.0)))],
            Message::Grant(key) => vec![("grant", text(&format!("{:016x}", key.0)))],
            Message::Settled(ms) => vec![("settled", JsonValue::Boolean(true)), ("ms", number(*ms))],
        };
        let object = members.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
        if let Ok(line) = JsonValue::Object(object).stringify() {
            out.extend(line.as_bytes());
            out.push(b'\n');
        }
    }

    fn parse(line: &[u8]) -> Result<Self, MessageError> {
        let text = std::str::from_utf8(line).map_err(|_| MessageError::Foreign)?;
        let json: JsonValue = text.parse().map_err(|_| MessageError::Foreign)?;
        let root = JsonField::root(&json, "message");
        let is = |key: &str| root.get(key).is_present();
        let foreign = |_| MessageError::Foreign;
        let name = |key: &str| root.get(key).string().map_err(foreign);
        let flag = |name: &str| root.get(name).flag().map_err(foreign);
        let key = |member: &str| {
            let digits = name(member)?;
            u64::from_str_radix(&digits, 16).map(KeyId).map_err(|_| MessageError::Foreign)
        };
        let ms = || root.get("ms").number().map(|n| n as u64).map_err(foreign);
        match () {
            () if is("hello") => {
                let form = root.get("form").number().map_err(foreign)? as u32;
                if form != FORM {
                    return Err(MessageError::Form(form));
                }
                Ok(Message::Hello {
                    name: name("hello")?,
                    listen: root.get("listen").socket_address().map_err(foreign)?,
                })
            }
            () if is("known") => Ok(Message::Known(name("known")?, ms()?)),
            () if is("listed") => Ok(Message::Listed(read_endpoint(&root.get("listed")).map_err(foreign)?)),
            () if is("enter") => Ok(Message::Enter(name("enter")?)),
            () if is("exit") => Ok(Message::Exit(name("exit")?, ms()?)),
            () if is("end") => Ok(Message::End { cancels: flag("cancels")?, leases: flag("leases")? }),
            () if is("cancel") => {
                let part = |key: &str| root.get(key).number().map(|n| n as u32).map_err(foreign);
                Ok(Message::Cancel { session: part("cancel")?, secret: part("secret")? })
            }
            () if is("taking") => Ok(Message::Taking { leases: flag("leases")? }),
            () if is("claim") => Ok(Message::Claim(key("claim")?)),
            () if is("grant") => Ok(Message::Grant(key("grant")?)),
            () if is("settled") => Ok(Message::Settled(ms()?)),
            () => Err(MessageError::Foreign),
        }
    }
}

/// Takes the next whole message from what has come; `None` while there is none.
///
/// # Errors
/// What came is not understood; nothing after it is.
pub fn next(input: &mut Vec<u8>) -> Result<Option<Message>, MessageError> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return if input.len() > LONGEST_LINE { Err(MessageError::Endless) } else { Ok(None) };
    };
    let word = Message::parse(&input[..end])?;
    input.drain(..=end);
    Ok(Some(word))
}

#[cfg(test)]
mod tests;

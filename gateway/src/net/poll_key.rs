//! The keys under which sources are registered with the poller, and their encoding in 64 bits.
//!
//! The key of a connection contains a generation or a serial number, so that a stale event is never delivered to a
//! later connection in the same slot.

use wrenhatch_sessions::session_table::Handle;

/// Identifies a source of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKey {
    PostgreSqlListener,
    MySqlListener,
    /// The pipe of SIGTERM.
    Terminate,
    /// The pipe of SIGUSR1.
    PrintCounters,
    /// The pipe of SIGHUP.
    Reload,
    AdminListener,
    /// The Unix socket at which a successor connects.
    PeerListener,
    Session(Handle),
    EngineConnection {
        /// Index of the connection in the pools.
        slot: u32,
        /// The lowest 30 bits of the connection's serial number. Higher bits are not encoded.
        serial: u32,
    },
    /// The stream of the endpoint list, by the serial number of its connection.
    Watch(u32),
    /// A connection of the admin interface, by the serial number of the connection.
    AdminConnection(u32),
    /// A connection to a peer process, by the number of its [`PeerProcessId`](crate::core::PeerProcessId).
    PeerProcess(u32),
    /// The stream of the control plane, by the serial number of its connection.
    ControlPlaneStream(u32),
    /// The connection of a report to the control plane, by the serial number of the connection.
    ControlPlaneReport(u32),
}

/// The two highest bits are a tag for sessions, engine connections and the endpoint list's stream. The tag of all other
/// sources is 0.
const TAG_SHIFT: u32 = 62;
const TAG_SESSION: u64 = 1;
const TAG_ENGINE_CONNECTION: u64 = 2;
const TAG_WATCH: u64 = 3;
const PAYLOAD_MASK: u64 = (1 << TAG_SHIFT) - 1;
const SERIAL_MASK: u32 = (1 << (TAG_SHIFT - 32)) - 1;
/// With tag 0, one of these bits marks a source with a serial number in the low 32 bits. Without any of them, the key
/// is the number of a fixed source.
const ADMIN_CONNECTION: u64 = 1 << 61;
const PEER_PROCESS: u64 = 1 << 60;
const CONTROL_PLANE_STREAM: u64 = 1 << 59;
const CONTROL_PLANE_REPORT: u64 = 1 << 58;

impl PollKey {
    /// The key in the form in which it is passed to the poller.
    pub fn encode(self) -> u64 {
        match self {
            PollKey::PostgreSqlListener => 0,
            PollKey::MySqlListener => 1,
            PollKey::Terminate => 2,
            PollKey::PrintCounters => 3,
            PollKey::Reload => 4,
            PollKey::AdminListener => 5,
            PollKey::PeerListener => 6,
            PollKey::Session(handle) => TAG_SESSION << TAG_SHIFT | handle.to_bits(),
            PollKey::EngineConnection { slot, serial } => {
                TAG_ENGINE_CONNECTION << TAG_SHIFT | u64::from(serial & SERIAL_MASK) << 32 | u64::from(slot)
            }
            PollKey::Watch(serial) => TAG_WATCH << TAG_SHIFT | u64::from(serial),
            PollKey::AdminConnection(serial) => ADMIN_CONNECTION | u64::from(serial),
            PollKey::PeerProcess(serial) => PEER_PROCESS | u64::from(serial),
            PollKey::ControlPlaneStream(serial) => CONTROL_PLANE_STREAM | u64::from(serial),
            PollKey::ControlPlaneReport(serial) => CONTROL_PLANE_REPORT | u64::from(serial),
        }
    }

    /// Reverses [`PollKey::encode`], except for the higher bits of an engine connection's serial number. Returns `None`
    /// if the bits are not a valid key.
    pub fn decode(bits: u64) -> Option<Self> {
        let serial = bits as u32;
        match bits >> TAG_SHIFT {
            TAG_SESSION => return Handle::from_bits(bits & PAYLOAD_MASK).map(PollKey::Session),
            TAG_ENGINE_CONNECTION => {
                return Some(PollKey::EngineConnection {
                    slot: serial,
                    serial: ((bits & PAYLOAD_MASK) >> 32) as u32,
                });
            }
            TAG_WATCH => return Some(PollKey::Watch(serial)),
            _ => {}
        }
        match bits - u64::from(serial) {
            ADMIN_CONNECTION => Some(PollKey::AdminConnection(serial)),
            PEER_PROCESS => Some(PollKey::PeerProcess(serial)),
            CONTROL_PLANE_STREAM => Some(PollKey::ControlPlaneStream(serial)),
            CONTROL_PLANE_REPORT => Some(PollKey::ControlPlaneReport(serial)),
            0 => Self::from_fixed_number(serial),
            _ => None,
        }
    }

    fn from_fixed_number(number: u32) -> Option<Self> {
        let keys = [
            PollKey::PostgreSqlListener,
            PollKey::MySqlListener,
            PollKey::Terminate,
            PollKey::PrintCounters,
            PollKey::Reload,
            PollKey::AdminListener,
            PollKey::PeerListener,
        ];
        keys.get(number as usize).copied()
    }
}

#[cfg(test)]
mod tests;

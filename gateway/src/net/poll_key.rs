//! The poller's keys: which source an event belongs to.
//!
//! A key of a connection holds a generation or a serial number, so that no event reaches a connection that was opened
//! in the place of another one.

use wrenhatch_sessions::session_table::Handle;

/// Identifies a source of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKey {
    /// The listener of PostgreSQL clients.
    PostgreSqlListener,
    /// The listener of MySQL clients.
    MySqlListener,
    /// SIGTERM has come.
    Terminate,
    /// SIGUSR1 has come.
    PrintCounters,
    /// SIGHUP has come.
    Reload,
    /// The listener of the admin interface.
    AdminListener,
    /// The listener of successors.
    PeerListener,
    /// A client's session.
    Session(Handle),
    /// A connection to an engine: its slot, and 30 bits of its serial number.
    EngineConnection {
        /// The slot in the pools.
        slot: u32,
        /// The lowest bits of the serial number.
        serial: u32,
    },
    /// A stream of the discovery service, by its serial number.
    Watch(u32),
    /// A connection of the admin interface, by its serial number.
    AdminConnection(u32),
    /// A peer process, by its id.
    PeerProcess(u32),
    /// A stream of the control plane, by its serial number.
    ControlPlaneStream(u32),
    /// A connection for a report to the control plane, by its serial number.
    ControlPlaneReport(u32),
}

/// The two highest bits tell sessions, engines' connections and discovery streams from all others.
const TAG_SHIFT: u32 = 62;
const TAG_SESSION: u64 = 1;
const TAG_ENGINE_CONNECTION: u64 = 2;
const TAG_WATCH: u64 = 3;
const PAYLOAD: u64 = (1 << TAG_SHIFT) - 1;
const ENGINE_SERIAL: u32 = (1 << (TAG_SHIFT - 32)) - 1;
/// Bits of the others; the rest is a serial number.
const ADMIN_CONNECTION: u64 = 1 << 61;
const PEER_PROCESS: u64 = 1 << 60;
const CONTROL_PLANE_STREAM: u64 = 1 << 59;
const CONTROL_PLANE_REPORT: u64 = 1 << 58;

impl PollKey {
    /// The key as the poller has it.
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
                TAG_ENGINE_CONNECTION << TAG_SHIFT | u64::from(serial & ENGINE_SERIAL) << 32 | u64::from(slot)
            }
            PollKey::Watch(serial) => TAG_WATCH << TAG_SHIFT | u64::from(serial),
            PollKey::AdminConnection(serial) => ADMIN_CONNECTION | u64::from(serial),
            PollKey::PeerProcess(serial) => PEER_PROCESS | u64::from(serial),
            PollKey::ControlPlaneStream(serial) => CONTROL_PLANE_STREAM | u64::from(serial),
            PollKey::ControlPlaneReport(serial) => CONTROL_PLANE_REPORT | u64::from(serial),
        }
    }

    /// Back from [`PollKey::encode`]; `None` if the bits are no key.
    pub fn decode(bits: u64) -> Option<Self> {
        let serial = bits as u32;
        match bits >> TAG_SHIFT {
            TAG_SESSION => return Handle::from_bits(bits & PAYLOAD).map(PollKey::Session),
            TAG_ENGINE_CONNECTION => {
                return Some(PollKey::EngineConnection {
                    slot: serial,
                    serial: ((bits & PAYLOAD) >> 32) as u32,
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
            0 => Self::fixed(serial),
            _ => None,
        }
    }

    fn fixed(number: u32) -> Option<Self> {
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

//! What happens in a simulated fleet at a time, and the order in which it happens.

use std::cmp::Ordering;
use std::sync::Arc;

use super::ConnectionId;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The action at this place of the script.
    ScriptedAction(usize),
    /// Loads are counted from now on.
    MeasurementBegins,
    /// A gateway starts.
    GatewayStarts(usize),
    /// A gateway's watch has something due, if it still runs in this incarnation.
    WatchTimer { gateway: usize, incarnation: u32 },
    /// A SYN has come to its control machine.
    ConnectArrived(ConnectionId),
    /// The answer to a SYN has come to its gateway.
    ConnectAccepted(ConnectionId),
    /// A refusal has come to its gateway.
    ConnectRefused(ConnectionId),
    /// A call for the events behind `after` has come to its control machine.
    CallArrived { connection: ConnectionId, after: u64 },
    /// A control machine has worked on a call, and begins its stream.
    StreamBegins { connection: ConnectionId, after: u64 },
    /// A stream is due a comment.
    CommentDue(ConnectionId),
    /// Bytes of the list have come to a gateway.
    BytesArrived { connection: ConnectionId, text: Arc<[u8]> },
    /// The end of a stream has come to its gateway.
    StreamEndedAtGateway(ConnectionId),
    /// The end of a stream has come to its control machine.
    StreamEndedAtControl(ConnectionId),
    /// A control machine gets the first so many changes of the list.
    ChangesReplicated { machine: usize, changes: usize },
    /// A region's router notices the state of a control machine.
    RouterUpdated { region: usize, machine: usize },
    /// What a cut held back is sent again.
    Retransmission(ConnectionId),
}

/// An event with its time; `order` counts events as they are scheduled.
pub(super) struct ScheduledEvent {
    pub(super) at_us: u64,
    pub(super) order: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.order) == (other.at_us, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.order).cmp(&(other.at_us, other.order))
    }
}

//! Events of the simulation and their order.

use std::cmp::Ordering;
use std::sync::Arc;

use super::ConnectionId;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The script's action with this index is due.
    ScriptedAction(usize),
    /// Measurement starts.
    MeasurementBegins,
    /// A gateway process starts.
    GatewayStarts(usize),
    /// The timer of a gateway's watch expires. Ignored if the gateway has restarted since.
    WatchTimer { gateway: usize, incarnation: u32 },
    /// A SYN arrives at the control machine.
    ConnectArrived(ConnectionId),
    /// A SYN-ACK arrives at the gateway.
    ConnectAccepted(ConnectionId),
    /// A reset in response to a SYN arrives at the gateway.
    ConnectRefused(ConnectionId),
    /// A request for the list events after `after` arrives at the control machine.
    RequestArrived { connection: ConnectionId, after: u64 },
    /// A control machine has processed a request and starts the stream.
    StreamBegins { connection: ConnectionId, after: u64 },
    /// The heartbeat comment of a stream is due.
    CommentDue(ConnectionId),
    /// Bytes of a stream arrive at the gateway.
    BytesArrived { connection: ConnectionId, text: Arc<[u8]> },
    /// The end of a stream arrives at the gateway.
    StreamEndedAtGateway(ConnectionId),
    /// The end of a stream arrives at the control machine.
    StreamEndedAtControl(ConnectionId),
    /// The first `changes` changes of the list have been replicated to a control machine.
    ChangesReplicated { machine: usize, changes: usize },
    /// The router of a region detects the state of a control machine.
    RouterUpdated { region: usize, machine: usize },
    /// Bytes that were buffered during a network partition are retransmitted.
    Retransmission(ConnectionId),
}

/// An event with its time. `sequence` is unique and orders events of the same time.
pub(super) struct ScheduledEvent {
    pub(super) at_us: u64,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.sequence) == (other.at_us, other.sequence)
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
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

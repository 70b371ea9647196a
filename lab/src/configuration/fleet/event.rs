//! Events of the simulation.

use std::sync::Arc;

use wrenhatch_configuration::{Document, Report, Version};

/// Number of a stream. Numbers are not reused.
pub(super) type StreamId = u64;

/// An event that [`Fleet`](super::Fleet) handles at its scheduled time.
#[derive(Debug)]
pub(super) enum Event {
    /// The request that opens a stream arrives at a control machine.
    StreamOpened { gateway: usize, machine: usize, stream: StreamId },
    /// An attempt to connect fails because it was refused or timed out.
    ConnectFailed { gateway: usize, stream: StreamId },
    /// A message arrives at a gateway.
    MessageArrived { gateway: usize, machine: usize, stream: StreamId, text: Arc<str> },
    /// A gateway has restarted.
    GatewayStarted { gateway: usize, incarnation: u64 },
    /// A gateway has finished the check of a version.
    VersionChecked { gateway: usize, incarnation: u64, version: Version, is_valid: bool },
    /// A report arrives at a control machine.
    ReportArrived { gateway: usize, machine: usize, report: Report },
    /// The acknowledgement of a report arrives at its gateway.
    ReportAcknowledged { gateway: usize, report: Report },
    /// The reset of a stream arrives at its gateway.
    StreamReset { gateway: usize, stream: StreamId },
    /// A control machine sends the messages that are due.
    ControlMachineTurn { machine: usize },
    /// A gateway checks its stream, its report and whether an attempt to connect is due.
    GatewayCheck { gateway: usize },
    /// Control machines compare their newest versions.
    VersionExchange,
    /// A control machine receives a version from another one.
    VersionReceived { machine: usize, version: Version, document: Document },
    /// A version from the operator arrives at a control machine.
    VersionPublished { machine: usize, version: Version, document: Document },
}

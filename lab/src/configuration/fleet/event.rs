//! What happens in a simulated fleet at a time.

use std::sync::Arc;

use wrenhatch_configuration::{Document, Report, Version};

/// The number of a stream, never used twice.
pub(super) type StreamId = u64;

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    /// A stream's request has come to a machine.
    StreamOpened { gateway: usize, machine: usize, stream: StreamId },
    /// An attempt has failed, by a refusal or in time.
    ConnectFailed { gateway: usize, stream: StreamId },
    /// A message has come to a gateway.
    MessageArrived { gateway: usize, machine: usize, stream: StreamId, text: Arc<str> },
    /// A gateway is up again.
    GatewayStarted { gateway: usize, incarnation: u64 },
    /// A gateway has checked a version.
    VersionApplied { gateway: usize, incarnation: u64, version: Version, is_good: bool },
    /// A report has come to a machine.
    ReportArrived { gateway: usize, machine: usize, report: Report },
    /// The answer to a report has come to its gateway.
    ReportAcknowledged { gateway: usize, report: Report },
    /// A gateway learns that its stream was reset.
    StreamReset { gateway: usize, stream: StreamId },
    /// A control machine sends what is due.
    ControlMachineTurn { machine: usize },
    /// A gateway checks its stream and its report.
    GatewayCheck { gateway: usize },
    /// Control machines compare their newest versions.
    VersionExchange,
    /// A control machine gets another's version.
    VersionReceived { machine: usize, version: Version, document: Document },
    /// An operator's version has come to a control machine.
    VersionPublished { machine: usize, version: Version, document: Document },
}

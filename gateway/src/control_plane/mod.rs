//! The gateway's side of the control plane, without I/O: a stream of versions of the settings from one of the control
//! plane servers, and a report for each version that was applied or refused.
//!
//! [`ControlPlaneClient`] decides when to connect and what to send; `net` carries it out. Which version is applied next
//! and from which server is decided by the subscriber of the crate `wrenhatch-configuration`.

mod client;
mod requests;

pub use client::{ControlPlaneClient, MessageOutcome};
pub use requests::{
    MAX_REPORT_RESPONSE_BYTES, ReportResponse, read_report_response, write_report_request,
    write_stream_request,
};

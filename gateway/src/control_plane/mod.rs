//! Client of the control plane, without I/O: receives versions of the settings from one of the control plane servers,
//! and reports the latest one that was applied or refused.
//!
//! [`ControlPlaneClient`] decides when to connect and what to send. `net` holds the connections. The subscriber of the
//! crate `wrenhatch-configuration` selects the server and the next version.

mod client;
mod requests;

pub use client::{ControlPlaneClient, MessageOutcome};
pub use requests::{
    MAX_REPORT_RESPONSE_BYTES, ReportResponse, read_report_response, write_report_request,
    write_stream_request,
};

#![doc = include_str!("../README.md")]
//!
//! # Modules
//!
//! - `event` and `action`: input and output of [`WorkloadManager`]
//! - `settings`: its configuration, and changes to it at run time
//! - `endpoint`: the endpoint list
//! - `id`: identifiers of requests, engines and classes
//! - `decisions`: [`WorkloadManager`] itself, with a module for each rule

mod action;
mod decisions;
mod endpoint;
mod event;
mod id;
mod settings;

pub use action::Action;
pub use decisions::WorkloadManager;
pub use endpoint::{EndpointEntry, EndpointListMode, EndpointState};
pub use event::{Event, LoadReport, Outcome, Progress, QueryCost, Request};
pub use id::{ClassId, EngineId, KeyId, MachineTypeId, RequestId, TableGroupId, TenantId, ZoneId};
pub use settings::{
    Capabilities, Class, ClassOrigin, Idempotency, IdempotencyScope, LoadReportSource, MachineType,
    MemoryShortage, RetryBudget, Rules, Settings, SettingsChange, SettingsError, Tenant,
};

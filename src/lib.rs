#![doc = include_str!("../README.md")]

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

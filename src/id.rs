//! Identifiers. The workload manager returns them unchanged. Except for indices into the settings, their
//! values have no meaning to it.

/// Unique id of a request. An id is never reused, and is less than `u64::MAX - 1`, because timer tokens are
/// derived from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Id of an engine. It stays the same when the engine's process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineId(pub u32);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::machine_types`](crate::Settings::machine_types). An index past the end stands for a
/// machine type that the settings do not describe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineTypeId(pub usize);

/// Number of a zone. The settings have no list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Order key of a request. Requests with the same key run one at a time, whatever their classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u64);

/// Group of tables that a request reads or loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableGroupId(pub u64);

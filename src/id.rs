//! Identifiers. The workload manager hands them back unchanged and reads no meaning into them, but for
//! indices into the settings.

/// A request's id, never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// An engine's id: the same after its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineId(pub u32);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::machine_types`](crate::Settings::machine_types); an index past its end is a
/// machine type that the settings do not describe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineTypeId(pub usize);

/// A zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The order key of a request whose class is ordered by key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u64);

/// The group of tables that a request reads or loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableGroupId(pub u64);

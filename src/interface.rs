//! What goes into the decision module and what comes out: settings, events and actions.
//!
//! Nothing here decides anything. Times and spans are seconds as `f64`; the clock may start
//! anywhere and only moves forward. Ids are handed back unchanged and carry no meaning.

/// A request's id, never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// An engine's id: the same after its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::machine_types`]; an index past its end is a kind the settings do not describe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineTypeId(pub usize);

/// A zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The key of a request whose class keeps order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u64);

/// The group of tables (collection) that a request reads or loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableGroupId(pub u64);

/// Which engines drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// What repeating a request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeats do no harm.
    Idempotent,
    /// Engines of `group` drop repeats sent within `window` seconds of the first send that may have run.
    Keyed {
        /// Which engines remember the request.
        scope: IdempotencyScope,
        /// For how long, in seconds.
        window: f64,
    },
    /// Must never run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a client may repeat a request whose attempt may have run, wherever the repeat goes.
    pub fn client_may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Keyed { scope: IdempotencyScope::All, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answered within this, a request earns its full worth.
    pub latency_objective: f64,
    /// The aim is longer by this times the request's work over its threads.
    pub objective_stretch: f64,
    /// The client's whole patience.
    pub deadline: f64,
    /// What a request is worth.
    pub priority_weight: f64,
    /// Share of the worth that an answer past the aim still earns.
    pub late_weight_ratio: f64,
    /// What repeating it would do.
    pub idempotency: Idempotency,
    /// Requests with one key run one at a time, in order.
    pub ordered_by_key: bool,
    /// The only machine_types it may run on, if bound.
    pub allowed_machine_types: Option<Vec<MachineTypeId>>,
    /// The only zones it may run in, if bound.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// Threads that a request runs on.
    pub threads: u32,
    /// A load: holds its group on its engine while it runs.
    pub is_load: bool,
    /// Stands still while a load holds its group.
    pub waits_for_loads: bool,
    /// Answers are streams.
    pub is_streaming: bool,
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Cores.
    pub cores: f64,
    /// Memory in MB; 0 if not known.
    pub memory_mb: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all gateways; 0 if not stated.
    pub quota_per_second: f64,
}

/// What engines do when grants pass their memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query waits in line.
    Queue,
    /// It gets what is left and spills.
    Spill,
    /// It is let in and all slow down.
    Overcommit,
}

/// The budget of further attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Capabilities however light the traffic.
    pub min_retries: f64,
    /// Capabilities for each request taken.
    pub retry_ratio: f64,
    /// Over this span.
    pub window: f64,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A final answer still counts this long past the client's deadline.
    pub answer_grace: f64,
    /// Sends to a draining engine must have stopped after this.
    pub drain_grace: f64,
    /// A cold engine starts at this share of its capacity or more.
    pub slow_start_min_ratio: f64,
    /// It is warm after this at the latest.
    pub slow_start_duration: f64,
    /// It falls when sent this multiple of its capacity
    pub collapse_load_ratio: f64,
    /// for this long.
    pub collapse_window: f64,
    /// How long a key rests after an attempt that might still run.
    pub key_cooldown: f64,
    /// The budget of further attempts, where there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// Where engines' load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    None,
    /// Answers and probes bring them.
    Responses,
    /// Probes alone bring them, and are allowed. The module asks for none: its own attempts tell it.
    HealthChecks,
}

/// What the site permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capabilities {
    /// Attempts may be cancelled.
    pub cancels_attempts: bool,
    /// Engines may be probed.
    pub health_checks: bool,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// The list of engines must be asked for.
    pub polls_endpoint_list: bool,
    /// Clients hear a retry-after.
    pub retry_after: bool,
    /// The longest wait that a client obeys.
    pub max_retry_after: f64,
    /// Attempts a request may have; 0: no limit.
    pub max_attempts: u32,
    /// Memory grants are heeded.
    pub memory_grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Time between notes of progress; 0: none come.
    pub progress_period: f64,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u32,
    /// The zone of this one.
    pub zone: Option<ZoneId>,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Kinds of machine.
    pub machine_types: Vec<MachineType>,
    /// Tenants, if any.
    pub tenants: Vec<Tenant>,
    /// What a request past its tenant's share is worth, as a fraction.
    pub over_quota_weight_ratio: f64,
    /// Figures of the rules.
    pub rules: Rules,
    /// What is permitted.
    pub capabilities: Capabilities,
    /// What engines do when short of memory.
    pub on_memory_shortage: MemoryShortage,
    /// The smallest gap between two events' times.
    pub clock_resolution: f64,
}

/// Where a class of other settings comes from, for a [`SettingsChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassOrigin {
    /// It is the one that had this id, unchanged.
    Unchanged,
    /// It follows the class that had this other id, with changes; what was learned of that one is its start.
    DerivedFrom(ClassId),
    /// Nothing is known of it.
    New,
    /// No new request has it any more; requests that came with it keep it.
    Retired,
}

impl ClassOrigin {
    /// The id of the class of the old settings of which something was learned, for the class of this id.
    pub fn learned_from(self, class: ClassId) -> Option<ClassId> {
        match self {
            ClassOrigin::Unchanged | ClassOrigin::Retired => Some(class),
            ClassOrigin::DerivedFrom(from) => Some(from),
            ClassOrigin::New => None,
        }
    }
}

/// Why settings were not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class.
    #[error("settings name no class of request")]
    NoClasses,
    /// There is no gateway.
    #[error("settings say there are no gateways")]
    NoGateways,
    /// It is not said of each class where it comes from, or one comes from none that there was.
    #[error("the origins do not fit the classes")]
    InvalidOrigins,
    /// A figure is negative or not a number.
    #[error("{what} is {value}, which is negative or not a number")]
    InvalidValue {
        /// Which figure.
        what: String,
        /// Its value.
        value: f64,
    },
}

/// Whether an engine may be sent new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It may.
    Ready,
    /// It is finishing its work.
    Draining,
    /// It has left.
    #[default]
    Removed,
}

/// One engine as the list has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// When it last started, if that is not long ago.
    pub started_at: Option<f64>,
}

/// How a change of the list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Changed entries only.
    Delta,
    /// The whole list: what is absent has left.
    Full,
    /// The whole list as last seen, perhaps stale.
    Cached,
    /// Asking failed; the old list stays.
    Failed,
}

/// A request taken from a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Its key, if its class keeps order.
    pub key: Option<KeyId>,
    /// When the client gives up.
    pub deadline: f64,
    /// Estimated work of all its threads.
    pub estimated_work: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// What it reads.
    pub table_group: Option<TableGroupId>,
    /// A client repeats an earlier request.
    pub is_retry: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No reply in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection dropped; it may have run or still run.
    ConnectionLost,
    /// Cancelled; it may have run or still run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the engine may still run the attempt.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::ConnectionLost | Self::Cancelled)
    }
}

/// An engine's load report; what it does not state is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries in hand.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queued: Option<f64>,
    /// Share of its cores in use.
    pub core_utilization: Option<f64>,
    /// Share of its memory granted.
    pub memory_utilization: Option<f64>,
    /// Share of its disks busy.
    pub disk_utilization: Option<f64>,
}

/// What a query turned out to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryCost {
    /// Work of all its threads, in seconds.
    pub work: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// News of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Its engine has answered for it: it goes on.
    Running,
    /// Share done, rough.
    Fraction(f64),
    /// It spills; MB missing.
    Spilling(f64),
    /// It waits for memory.
    WaitingForMemory,
    /// It waits for a load.
    WaitingForLoad,
}

/// What happens to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of engines.
    EndpointList {
        /// How to read it.
        mode: EndpointListMode,
        /// Its entries.
        entries: Vec<EndpointEntry>,
    },
    /// A request has been taken.
    RequestArrived(Request),
    /// An attempt has ended.
    AttemptEnded {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
        /// Where it ran.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        elapsed: f64,
        /// The request is finished: by this outcome or before it.
        request_settled: bool,
        /// Seconds for which it may still run at an engine that says nothing of it; 0 where its end is known,
        /// infinite until [`Event::AttemptEndConfirmed`] says more.
        may_still_run_for: f64,
        /// What it needed, where told.
        cost: Option<QueryCost>,
        /// The engine's report, if one came along.
        load_report: Option<LoadReport>,
    },
    /// An attempt that might have run on without end runs no longer than this.
    AttemptEndConfirmed {
        /// Its key.
        key: KeyId,
        /// Seconds for which it may still run; 0 where it is over.
        may_still_run_for: f64,
    },
    /// A stream has started: the client owns the attempt now.
    StreamStarted {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
    },
    /// News of an attempt that is out.
    AttemptProgress {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
        /// The news.
        progress: Progress,
    },
    /// The client has quit; nothing is owed.
    RequestAborted(RequestId),
    /// A probe's result.
    HealthChecked {
        /// Which engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: f64,
        /// The engine's report, if one came along.
        load_report: Option<LoadReport>,
    },
    /// A timer set by this gateway is due.
    Timer(u64),
}

/// What a gateway wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets memory (MB, 0: the engine's choice) and priority for the request's sends.
    SetAttemptTerms {
        /// Which request.
        request: RequestId,
        /// Memory to grant.
        memory_mb: f64,
        /// From 0 to 3.
        priority: u8,
    },
    /// Sends the request to an engine: its next attempt.
    Forward {
        /// Which request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// The attempt's time-out; `None`: till the client quits.
        timeout: Option<f64>,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// How long the client should hold off; `None`: no advice.
        retry_after: Option<f64>,
    },
    /// Final answer: failed; it promises nothing.
    Fail(RequestId),
    /// Asks for [`Event::Timer`] with this token after this delay.
    SetTimer {
        /// From now.
        delay: f64,
        /// Comes back with the event.
        token: u64,
        /// The request that it is for; once that has ended nobody needs it any more.
        request: Option<RequestId>,
    },
    /// Probes an engine; [`Event::HealthChecked`] tells the result.
    CheckHealth(EngineId),
    /// Asks for changes of the list from here on.
    WatchEndpointList,
}

/// Other settings in service. Ids of classes stay what they were; there may be more of them, never fewer.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// The settings.
    pub settings: Settings,
    /// For each class of the settings, where it comes from.
    pub origins: Vec<ClassOrigin>,
}

impl SettingsChange {
    /// The classes that new requests may have.
    pub fn active_classes(&self) -> Vec<&Class> {
        let classes = self.settings.classes.iter().zip(&self.origins);
        classes.filter(|(_, origin)| **origin != ClassOrigin::Retired).map(|(class, _)| class).collect()
    }

    /// Checks the settings, and that each class comes from one of `known` earlier classes or is new.
    ///
    /// # Errors
    /// The first thing found that no gateway could act on.
    pub fn check(&self, known: usize) -> Result<(), SettingsError> {
        let learned = |(at, origin): (usize, &ClassOrigin)| origin.learned_from(ClassId(at));
        let all_known = self.origins.iter().enumerate().filter_map(learned).all(|from| from.0 < known);
        if self.origins.len() != self.settings.classes.len() || self.origins.len() < known || !all_known {
            return Err(SettingsError::InvalidOrigins);
        }
        self.settings.check()
    }
}

impl Settings {
    /// The described machine type. One that is not described has the cores of the first type, at least one,
    /// and unknown memory.
    pub fn machine_type(&self, id: MachineTypeId) -> MachineType {
        let described = self.machine_types.get(id.0);
        let cores = described.or_else(|| self.machine_types.first()).map_or(1.0, |k| k.cores).max(1.0);
        MachineType { cores, memory_mb: described.map_or(0.0, |k| k.memory_mb) }
    }

    /// Checks that the figures make sense.
    ///
    /// # Errors
    /// The first thing found that no gateway could act on.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.gateways == 0 {
            return Err(SettingsError::NoGateways);
        }
        let (r, a) = (&self.rules, &self.capabilities);
        let mut figures = vec![
            ("answer slack".to_owned(), r.answer_grace),
            ("drain grace".to_owned(), r.drain_grace),
            ("cold share".to_owned(), r.slow_start_min_ratio),
            ("warm-up".to_owned(), r.slow_start_duration),
            ("fall multiple".to_owned(), r.collapse_load_ratio),
            ("overload span".to_owned(), r.collapse_window),
            ("order pause".to_owned(), r.key_cooldown),
            ("longest retry-after".to_owned(), a.max_retry_after),
            ("note period".to_owned(), a.progress_period),
            ("resolution".to_owned(), self.clock_resolution),
            ("over-share worth".to_owned(), self.over_quota_weight_ratio),
        ];
        if let Some(b) = &r.retry_budget {
            figures.push(("budget floor".to_owned(), b.min_retries));
            figures.push(("budget ratio".to_owned(), b.retry_ratio));
            figures.push(("budget look-back".to_owned(), b.window));
        }
        for (i, c) in self.classes.iter().enumerate() {
            figures.push((format!("aim of class {i}"), c.latency_objective));
            figures.push((format!("aim stretch of class {i}"), c.objective_stretch));
            figures.push((format!("deadline of class {i}"), c.deadline));
            figures.push((format!("worth of class {i}"), c.priority_weight));
            figures.push((format!("late value of class {i}"), c.late_weight_ratio));
            if let Idempotency::Keyed { window, .. } = c.idempotency {
                figures.push((format!("window of class {i}"), window));
            }
        }
        for (i, k) in self.machine_types.iter().enumerate() {
            figures.push((format!("cores of kind {i}"), k.cores));
            figures.push((format!("memory of kind {i}"), k.memory_mb));
        }
        for (i, t) in self.tenants.iter().enumerate() {
            figures.push((format!("quota_per_second of tenant {i}"), t.quota_per_second));
        }
        match figures.into_iter().find(|(_, v)| !(v.is_finite() && *v >= 0.0)) {
            Some((what, value)) => Err(SettingsError::InvalidValue { what, value }),
            None => Ok(()),
        }
    }
}

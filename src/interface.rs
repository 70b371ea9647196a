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

/// Index into [`Settings::kinds`]; an index past its end is a kind the settings do not describe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub usize);

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
pub struct GroupId(pub u64);

/// Which engines drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// What repeating a request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Engines of `group` drop repeats sent within `window` seconds of the first send that may have run.
    Keyed {
        /// Which engines remember the request.
        group: RepeatGroup,
        /// For how long, in seconds.
        window: f64,
    },
    /// Must never run twice.
    Unsafe,
}

impl Effect {
    /// Whether a client may repeat a request whose attempt may have run, wherever the repeat goes.
    pub fn is_harmless_to_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::Keyed { group: RepeatGroup::All, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answered within this, a request earns its full worth.
    pub aim: f64,
    /// The aim is longer by this times the request's work over its threads.
    pub aim_stretch: f64,
    /// The client's whole patience.
    pub deadline: f64,
    /// What a request is worth.
    pub worth: f64,
    /// Share of the worth that an answer past the aim still earns.
    pub late_value: f64,
    /// What repeating it would do.
    pub effect: Effect,
    /// Requests with one key run one at a time, in order.
    pub keep_order: bool,
    /// The only kinds it may run on, if bound.
    pub only_kinds: Option<Vec<KindId>>,
    /// The only zones it may run in, if bound.
    pub only_zones: Option<Vec<ZoneId>>,
    /// Threads that a request runs on.
    pub threads: u32,
    /// A load: holds its group on its engine while it runs.
    pub load: bool,
    /// Stands still while a load holds its group.
    pub yields: bool,
    /// Answers are streams.
    pub streaming: bool,
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Cores.
    pub cores: f64,
    /// Memory in MB; 0 if not known.
    pub memory_mb: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all gateways; 0 if not stated.
    pub quota: f64,
}

/// What engines do when grants pass their memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenShort {
    /// The query waits in line.
    Wait,
    /// It gets what is left and spills.
    Shrink,
    /// It is let in and all slow down.
    Page,
}

/// The budget of further attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraBudget {
    /// Allowed however light the traffic.
    pub floor: f64,
    /// Allowed for each request taken.
    pub ratio: f64,
    /// Over this span.
    pub look_back: f64,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A final answer still counts this long past the client's deadline.
    pub answer_slack: f64,
    /// Sends to a draining engine must have stopped after this.
    pub drain_grace: f64,
    /// A cold engine starts at this share of its capacity or more.
    pub cold_share: f64,
    /// It is warm after this at the latest.
    pub warm_up: f64,
    /// It falls when sent this multiple of its capacity
    pub fall_multiple: f64,
    /// for this long.
    pub overload_for: f64,
    /// How long a key rests after an attempt that might still run.
    pub order_pause: f64,
    /// The budget of further attempts, where there is one.
    pub extra: Option<ExtraBudget>,
}

/// Where engines' load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// There are none.
    None,
    /// Answers and probes bring them.
    Answers,
    /// Probes alone bring them, and are allowed. The module asks for none: its own attempts tell it.
    Probes,
}

/// What the site permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Engines may be probed.
    pub probe: bool,
    /// Where load reports come from.
    pub reports: Reports,
    /// The list of engines must be asked for.
    pub ask_for_list: bool,
    /// Clients hear a retry-after.
    pub retry_after: bool,
    /// The longest wait that a client obeys.
    pub max_retry_after: f64,
    /// Attempts a request may have; 0: no limit.
    pub max_attempts: u32,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Time between notes of progress; 0: none come.
    pub note_period: f64,
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
    pub kinds: Vec<Kind>,
    /// Tenants, if any.
    pub tenants: Vec<Tenant>,
    /// What a request past its tenant's share is worth, as a fraction.
    pub over_share_worth: f64,
    /// Figures of the rules.
    pub rules: Rules,
    /// What is permitted.
    pub allowed: Allowed,
    /// What engines do when short of memory.
    pub when_short: WhenShort,
    /// The smallest gap between two events' times.
    pub resolution: f64,
}

/// Where a class of other settings comes from, for a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassOrigin {
    /// It is the one that had this id, unchanged.
    Kept,
    /// It follows the class that had this other id, with changes; what was learned of that one is its start.
    Follows(ClassId),
    /// Nothing is known of it.
    New,
    /// No new request has it any more; requests that came with it keep it.
    Retired,
}

impl ClassOrigin {
    /// The id of the class of the old settings of which something was learned, for the class of this id.
    pub fn learned_by(self, class: ClassId) -> Option<ClassId> {
        match self {
            ClassOrigin::Kept | ClassOrigin::Retired => Some(class),
            ClassOrigin::Follows(from) => Some(from),
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
    BadOrigins,
    /// A figure is negative or not a number.
    #[error("{what} is {value}, which is negative or not a number")]
    BadFigure {
        /// Which figure.
        what: String,
        /// Its value.
        value: f64,
    },
}

/// Whether an engine may be sent new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// It may.
    Ready,
    /// It is finishing its work.
    Draining,
    /// It has left.
    #[default]
    Gone,
}

/// One engine as the list has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: EngineState,
    /// When it last started, if that is not long ago.
    pub started: Option<f64>,
}

/// How a change of the list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
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
    pub estimate: Option<f64>,
    /// Estimated memory in MB.
    pub need_mb: Option<f64>,
    /// What it reads.
    pub group: Option<GroupId>,
    /// A client repeats an earlier request.
    pub retry: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// An error; it may have run.
    Failure,
    /// Turned away unseen.
    Overloaded,
    /// No reply in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection dropped; it may have run or still run.
    Broken,
    /// Cancelled; it may have run or still run.
    Withdrawn,
    /// Never sent.
    Void,
}

impl Outcome {
    /// Whether the engine may still run the attempt.
    pub fn may_run_on(self) -> bool {
        matches!(self, Self::TimedOut | Self::Broken | Self::Withdrawn)
    }
}

/// An engine's load report; what it does not state is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Queries in hand.
    pub inflight: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of its cores in use.
    pub cores_busy: Option<f64>,
    /// Share of its memory granted.
    pub memory_granted: Option<f64>,
    /// Share of its disks busy.
    pub disks_busy: Option<f64>,
}

/// What a query turned out to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Work of all its threads, in seconds.
    pub work: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// News of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Its engine has answered for it: it goes on.
    Running,
    /// Share done, rough.
    Progress(f64),
    /// It spills; MB missing.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load.
    WaitsForLoad,
}

/// What happens to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of engines.
    List {
        /// How to read it.
        mode: ListMode,
        /// Its entries.
        entries: Vec<EngineEntry>,
    },
    /// A request has been taken.
    Arrived(Request),
    /// An attempt has ended.
    Ended {
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
        settled: bool,
        /// Seconds for which it may still run at an engine that says nothing of it; 0 where its end is known,
        /// infinite until [`Event::Confirmed`] says more.
        may_run_for: f64,
        /// What it needed, where told.
        cost: Option<Cost>,
        /// The engine's report, if one came along.
        report: Option<Report>,
    },
    /// An attempt that might have run on without end runs no longer than this.
    Confirmed {
        /// Its key.
        key: KeyId,
        /// Seconds for which it may still run; 0 where it is over.
        may_run_for: f64,
    },
    /// A stream has started: the client owns the attempt now.
    Started {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
    },
    /// News of an attempt that is out.
    Noted {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
        /// The news.
        note: Note,
    },
    /// The client has quit; nothing is owed.
    Aborted(RequestId),
    /// A probe's result.
    Probed {
        /// Which engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: f64,
        /// The engine's report, if one came along.
        report: Option<Report>,
    },
    /// A timer set by this gateway is due.
    Timer(u64),
}

/// What a gateway wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets memory (MB, 0: the engine's choice) and priority for the request's sends.
    Terms {
        /// Which request.
        request: RequestId,
        /// Memory to grant.
        memory_mb: f64,
        /// From 0 to 3.
        priority: u8,
    },
    /// Sends the request to an engine: its next attempt.
    Send {
        /// Which request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// The attempt's time-out; `None`: till the client quits.
        timeout: Option<f64>,
    },
    /// Cancels an attempt.
    Cancel {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
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
        of: Option<RequestId>,
    },
    /// Probes an engine; [`Event::Probed`] tells the result.
    Probe(EngineId),
    /// Asks for changes of the list from here on.
    Subscribe,
}

/// Other settings in service. Ids of classes stay what they were; there may be more of them, never fewer.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The settings.
    pub settings: Settings,
    /// For each class of the settings, where it comes from.
    pub origins: Vec<ClassOrigin>,
}

impl Change {
    /// The classes that new requests may have.
    pub fn in_force(&self) -> Vec<&Class> {
        let classes = self.settings.classes.iter().zip(&self.origins);
        classes.filter(|(_, origin)| **origin != ClassOrigin::Retired).map(|(class, _)| class).collect()
    }

    /// Checks the settings, and that each class comes from one of `known` earlier classes or is new.
    ///
    /// # Errors
    /// The first thing found that no gateway could act on.
    pub fn check(&self, known: usize) -> Result<(), SettingsError> {
        let learned = |(at, origin): (usize, &ClassOrigin)| origin.learned_by(ClassId(at));
        let all_known = self.origins.iter().enumerate().filter_map(learned).all(|from| from.0 < known);
        if self.origins.len() != self.settings.classes.len() || self.origins.len() < known || !all_known {
            return Err(SettingsError::BadOrigins);
        }
        self.settings.check()
    }
}

impl Settings {
    /// A machine of this kind. One that is not described has the cores of the first kind, a core at the least, and
    /// memory that is not known.
    pub fn machine(&self, kind: KindId) -> Kind {
        let described = self.kinds.get(kind.0);
        let cores = described.or_else(|| self.kinds.first()).map_or(1.0, |k| k.cores).max(1.0);
        Kind { cores, memory_mb: described.map_or(0.0, |k| k.memory_mb) }
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
        let (r, a) = (&self.rules, &self.allowed);
        let mut figures = vec![
            ("answer slack".to_owned(), r.answer_slack),
            ("drain grace".to_owned(), r.drain_grace),
            ("cold share".to_owned(), r.cold_share),
            ("warm-up".to_owned(), r.warm_up),
            ("fall multiple".to_owned(), r.fall_multiple),
            ("overload span".to_owned(), r.overload_for),
            ("order pause".to_owned(), r.order_pause),
            ("longest retry-after".to_owned(), a.max_retry_after),
            ("note period".to_owned(), a.note_period),
            ("resolution".to_owned(), self.resolution),
            ("over-share worth".to_owned(), self.over_share_worth),
        ];
        if let Some(b) = &r.extra {
            figures.push(("budget floor".to_owned(), b.floor));
            figures.push(("budget ratio".to_owned(), b.ratio));
            figures.push(("budget look-back".to_owned(), b.look_back));
        }
        for (i, c) in self.classes.iter().enumerate() {
            figures.push((format!("aim of class {i}"), c.aim));
            figures.push((format!("aim stretch of class {i}"), c.aim_stretch));
            figures.push((format!("deadline of class {i}"), c.deadline));
            figures.push((format!("worth of class {i}"), c.worth));
            figures.push((format!("late value of class {i}"), c.late_value));
            if let Effect::Keyed { window, .. } = c.effect {
                figures.push((format!("window of class {i}"), window));
            }
        }
        for (i, k) in self.kinds.iter().enumerate() {
            figures.push((format!("cores of kind {i}"), k.cores));
            figures.push((format!("memory of kind {i}"), k.memory_mb));
        }
        for (i, t) in self.tenants.iter().enumerate() {
            figures.push((format!("quota of tenant {i}"), t.quota));
        }
        match figures.into_iter().find(|(_, v)| !(v.is_finite() && *v >= 0.0)) {
            Some((what, value)) => Err(SettingsError::BadFigure { what, value }),
            None => Ok(()),
        }
    }
}

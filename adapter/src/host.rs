//! Hosts many gateways on one wire and translates for them. Gateways share nothing: names are
//! numbered for each of them on its own, in the order in which it met them.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use workload_manager::WorkloadManager;
use workload_manager::interface::*;

use crate::wire::{self, Batch, Element, Reply, Step};

/// Why a line was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    #[error("not a batch of the wire: {0}")]
    NotTheWire(#[from] serde_json::Error),
    #[error("event {event}: no gateway {who} has been started")]
    UnknownGateway { event: usize, who: String },
    #[error("event {event}: unknown class {class}")]
    UnknownClass { event: usize, class: String },
    #[error("event {event}: unknown {what} {value}")]
    UnknownNumber { event: usize, what: &'static str, value: u32 },
    #[error("event {event}: settings of {who}: {source}")]
    Settings { event: usize, who: String, source: SettingsError },
}

/// Numbers names in order of first sight.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    fn of(list: &[String]) -> Self {
        let mut names = Self::default();
        for name in list {
            names.number(name);
        }
        names
    }

    fn number(&mut self, name: &str) -> usize {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let n = self.names.len();
        self.numbers.insert(name.to_owned(), n);
        self.names.push(name.to_owned());
        n
    }
}

/// One gateway and its names.
struct Seat {
    gateway: WorkloadManager,
    classes: Names,
    kinds: Names,
    zones: Names,
    tenants: Names,
    engines: Names,
    keys: Names,
    report_x0: String,
    report_x1: String,
}

impl Seat {
    fn new(env: &wire::Env, salt: u64) -> Result<Self, SettingsError> {
        let class_names: Vec<String> = env.classes.iter().map(|c| c.name.clone()).collect();
        let tenant_names: Vec<String> = env.projects.iter().map(|p| p.name.clone()).collect();
        let mut kinds = Names::of(&env.kinds);
        let mut zones = Names::of(&env.zones);
        let classes = env.classes.iter().enumerate();
        let classes = classes.map(|(i, c)| class(c, i, &env.domain, &mut kinds, &mut zones)).collect();
        let (a, r, d) = (&env.allowed, &env.rules, &env.domain);
        let settings = Settings {
            gateways: env.balancers,
            zone: (!env.locality.is_empty()).then(|| ZoneId(zones.number(&env.locality))),
            classes,
            machine_types: (0..env.kinds.len())
                .map(|i| MachineType {
                    cores: d.kind_cores.get(i).copied().unwrap_or(1.0),
                    memory_mb: d.memory_by_kind_mb.get(i).copied().unwrap_or(0.0),
                })
                .collect(),
            tenants: env.projects.iter().map(|p| Tenant { quota_per_second: p.quota_per_s }).collect(),
            over_quota_weight_ratio: env.over_share_worth,
            rules: Rules {
                answer_grace: r.answer_slack_s,
                drain_grace: r.drain_grace_s,
                slow_start_min_ratio: r.cold_share,
                slow_start_duration: r.warm_up_s,
                collapse_load_ratio: r.fall_multiple,
                collapse_window: r.overload_for_s,
                key_cooldown: r.order_pause_s,
                retry_budget: r.look_back_s.map(|look_back| RetryBudget {
                    min_retries: r.extra_floor.unwrap_or(0.0),
                    retry_ratio: r.extra_ratio.unwrap_or(0.0),
                    window: look_back,
                }),
            },
            capabilities: Capabilities {
                cancels_attempts: a.cancelling,
                health_checks: a.probing,
                load_reports: match env.report.how.as_str() {
                    "probe" if a.probing => LoadReportSource::HealthChecks,
                    "none" | "probe" => LoadReportSource::None,
                    _ => LoadReportSource::Responses,
                },
                polls_endpoint_list: env.discovery == "ask",
                retry_after: a.retry_after,
                max_retry_after: a.max_retry_after_s,
                max_attempts: a.max_attempts,
                memory_grants: d.grants_count,
                priorities: d.takes_priority,
                progress_period: d.note_period_s,
            },
            on_memory_shortage: match d.when_short {
                wire::WhenShort::Wait => MemoryShortage::Queue,
                wire::WhenShort::Shrink => MemoryShortage::Spill,
                wire::WhenShort::Page => MemoryShortage::Overcommit,
            },
            clock_resolution: env.resolution_s,
        };
        Ok(Self {
            gateway: WorkloadManager::new(settings, salt)?,
            classes: Names::of(&class_names),
            kinds,
            zones,
            tenants: Names::of(&tenant_names),
            engines: Names::default(),
            keys: Names::default(),
            report_x0: d.report_x0.clone(),
            report_x1: d.report_x1.clone(),
        })
    }

    fn engine(&mut self, name: &str) -> EngineId {
        EngineId(u32::try_from(self.engines.number(name)).unwrap_or(u32::MAX))
    }

    fn entry(&mut self, e: &Element, event: usize) -> Result<EndpointEntry, HostError> {
        Ok(EndpointEntry {
            engine: self.engine(&e.engine),
            zone: ZoneId(self.zones.number(&e.failure_domain)),
            machine_type: MachineTypeId(self.kinds.number(&e.generation_hw)),
            cell: e.group,
            state: match e.state {
                0 => EndpointState::Removed,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                value => return Err(HostError::UnknownNumber { event, what: "engine state", value }),
            },
            started_at: (e.since_s > 0.0).then_some(e.since_s),
        })
    }

    fn request(&mut self, w: wire::WorkItem, event: usize) -> Result<Request, HostError> {
        let Some(class) = self.classes.numbers.get(&w.band) else {
            return Err(HostError::UnknownClass { event, class: w.band });
        };
        Ok(Request {
            id: RequestId(w.job),
            class: ClassId(*class),
            tenant: w.party.as_ref().and_then(|p| p.as_str()).map(|p| TenantId(self.tenants.number(p))),
            key: w.relation.map(|k| KeyId(self.keys.number(&k) as u64)),
            deadline: w.valid_until_s,
            estimated_work: w.estimate_s,
            estimated_memory_mb: w.need_mb.filter(|mb| *mb > 0.0),
            table_group: w.tables.map(|t| TableGroupId(t as u64)),
            is_retry: w.retry,
        })
    }

    fn report(&self, values: Option<BTreeMap<String, f64>>) -> Option<LoadReport> {
        let values = values?;
        let extra = |meaning: &str| {
            let named = |name: &str, stands_for: &str| {
                stands_for.contains(meaning).then(|| values.get(name).copied()).flatten()
            };
            named("x0", &self.report_x0).or_else(|| named("x1", &self.report_x1))
        };
        Some(LoadReport {
            in_flight: values.get("inflight").copied(),
            queued: values.get("queue").copied(),
            core_utilization: values.get("util").copied(),
            memory_utilization: extra("memory"),
            disk_utilization: extra("disk"),
        })
    }
}

fn class(c: &wire::Class, i: usize, d: &wire::Domain, kinds: &mut Names, zones: &mut Names) -> Class {
    let effect = match c.repeat {
        wire::Repeat::Pure => Idempotency::Idempotent,
        wire::Repeat::SideEffect => Idempotency::NotIdempotent,
        wire::Repeat::Token => Idempotency::Keyed {
            scope: match c.group {
                wire::Group::All => IdempotencyScope::All,
                wire::Group::Zone => IdempotencyScope::Zone,
                wire::Group::Cell => IdempotencyScope::Cell,
            },
            window: c.window_s,
        },
    };
    let flag = |list: &[bool]| list.get(i).copied().unwrap_or(false);
    Class {
        latency_objective: c.aim_s,
        objective_stretch: c.aim_stretch,
        deadline: c.deadline_s,
        priority_weight: c.worth,
        late_weight_ratio: c.late_value,
        idempotency: effect,
        ordered_by_key: c.keep_order,
        allowed_machine_types: c
            .allowed_on
            .as_ref()
            .map(|l| l.iter().map(|k| MachineTypeId(kinds.number(k))).collect()),
        allowed_zones: c.confined_to.as_ref().map(|l| l.iter().map(|z| ZoneId(zones.number(z))).collect()),
        threads: d.parallelism.get(i).copied().unwrap_or(1),
        is_load: flag(&d.holds_tables),
        waits_for_loads: flag(&d.yields_to_loads),
        is_streaming: c.streaming,
    }
}

fn outcome(how: wire::How) -> Outcome {
    match how {
        wire::How::Success => Outcome::Success,
        wire::How::Failure => Outcome::Error,
        wire::How::Overloaded => Outcome::Rejected,
        wire::How::TimedOut => Outcome::TimedOut,
        wire::How::Unreachable => Outcome::ConnectFailed,
        wire::How::Broken => Outcome::ConnectionLost,
        wire::How::Withdrawn => Outcome::Cancelled,
        wire::How::Void => Outcome::NeverSent,
    }
}

fn cost(used_up: u64) -> Option<QueryCost> {
    (used_up > 0).then(|| QueryCost {
        work: (used_up / 4096) as f64 / 1000.0,
        memory_mb: (used_up % 4096) as f64 * 4.0,
    })
}

/// All gateways of this process.
#[derive(Default)]
pub struct Host {
    seats: HashMap<String, Seat>,
    rosters: HashMap<u32, Vec<Element>>,
}

impl Host {
    /// Takes one line, returns the reply.
    ///
    /// # Errors
    /// The line is not of the wire, or names what has not been introduced.
    pub fn line(&mut self, line: &str) -> Result<Reply, HostError> {
        let batch: Batch = serde_json::from_str(line)?;
        let mut reply = Reply::default();
        for (number, event) in batch.events.into_iter().enumerate() {
            self.event(batch.now_s, number, event, &mut reply)?;
        }
        Ok(reply)
    }

    fn event(&mut self, now: f64, n: usize, event: wire::Event, reply: &mut Reply) -> Result<(), HostError> {
        match event {
            wire::Event::Hello { who, salt, env } => {
                let seat = Seat::new(&env, salt).map_err(|source| HostError::Settings {
                    event: n,
                    who: who.clone(),
                    source,
                })?;
                self.seats.insert(who, seat);
            }
            wire::Event::Stop { who } => {
                self.seats.remove(&who);
            }
            wire::Event::Roster { slot, elements } => {
                self.rosters.insert(slot, elements);
            }
            wire::Event::RosterChange(change) => {
                let mode = match change.mode {
                    0 => EndpointListMode::Delta,
                    1 => EndpointListMode::Full,
                    2 => EndpointListMode::Cached,
                    3 => EndpointListMode::Failed,
                    value => return Err(HostError::UnknownNumber { event: n, what: "roster mode", value }),
                };
                let seat = seat(&mut self.seats, n, &change.who)?;
                let mut entries = Vec::new();
                if mode != EndpointListMode::Failed {
                    let Some(elements) = self.rosters.get(&change.slot) else {
                        return Err(HostError::UnknownNumber {
                            event: n,
                            what: "roster slot",
                            value: change.slot,
                        });
                    };
                    for element in elements {
                        entries.push(seat.entry(element, n)?);
                    }
                }
                seat.tell(now, change.who, &Event::EndpointList { mode, entries }, reply);
            }
            wire::Event::WorkItem(item) => {
                let who = item.who.clone();
                let seat = seat(&mut self.seats, n, &who)?;
                let request = seat.request(item, n)?;
                seat.tell(now, who, &Event::RequestArrived(request), reply);
            }
            wire::Event::Established(a) => {
                let event = Event::StreamStarted { request: RequestId(a.job), attempt: a.attempt };
                seat(&mut self.seats, n, &a.who)?.tell(now, a.who, &event, reply);
            }
            wire::Event::UpdateOf(u) => {
                let note = match (u.what, u.amount) {
                    (1, share) => Progress::Fraction(share),
                    (2, mb) => Progress::Spilling(mb),
                    (3, load) if load >= 2.0 => Progress::WaitingForLoad,
                    (3, _) => Progress::WaitingForMemory,
                    (value, _) => {
                        return Err(HostError::UnknownNumber { event: n, what: "kind of news", value });
                    }
                };
                let event =
                    Event::AttemptProgress { request: RequestId(u.job), attempt: u.attempt, progress: note };
                seat(&mut self.seats, n, &u.who)?.tell(now, u.who, &event, reply);
            }
            wire::Event::ReportBack(r) => {
                let seat = seat(&mut self.seats, n, &r.who)?;
                let event = Event::AttemptEnded {
                    request: RequestId(r.job),
                    attempt: r.attempt,
                    engine: seat.engine(&r.engine),
                    outcome: outcome(r.how),
                    elapsed: r.rtt_s,
                    request_settled: r.settled,
                    may_still_run_for: 0.0,
                    cost: cost(r.used_up),
                    load_report: seat.report(r.feedback),
                };
                seat.tell(now, r.who, &event, reply);
            }
            wire::Event::Aborted { who, job } => {
                seat(&mut self.seats, n, &who)?.tell(now, who, &Event::RequestAborted(RequestId(job)), reply);
            }
            wire::Event::Bell { who, nonce } => {
                seat(&mut self.seats, n, &who)?.tell(now, who, &Event::Timer(nonce), reply);
            }
            wire::Event::CheckResult(c) => {
                let seat = seat(&mut self.seats, n, &c.who)?;
                let event = Event::HealthChecked {
                    engine: seat.engine(&c.engine),
                    outcome: outcome(c.how),
                    elapsed: c.rtt_s,
                    load_report: seat.report(c.feedback),
                };
                seat.tell(now, c.who, &event, reply);
            }
            wire::Event::Memo { who } => {
                seat(&mut self.seats, n, &who)?;
            }
        }
        Ok(())
    }
}

fn seat<'a>(
    seats: &'a mut HashMap<String, Seat>,
    event: usize,
    who: &str,
) -> Result<&'a mut Seat, HostError> {
    seats.get_mut(who).ok_or_else(|| HostError::UnknownGateway { event, who: who.to_owned() })
}

impl Seat {
    /// Hands an event to the gateway; a panic in there becomes `bail-out`.
    fn tell(&mut self, now: f64, who: String, event: &Event, reply: &mut Reply) {
        let mut actions = Vec::new();
        if catch_unwind(AssertUnwindSafe(|| self.gateway.on_event(now, event, &mut actions))).is_err() {
            reply.steps.push(Step::BailOut { who, text: "the decision module panicked".to_owned() });
            return;
        }
        reply.steps.extend(actions.into_iter().map(|a| self.step(who.clone(), a)));
    }

    fn step(&self, who: String, action: Action) -> Step {
        match action {
            Action::SetAttemptTerms { request, memory_mb, priority } => {
                Step::Allot { who, job: request.0, memory: memory_mb, priority }
            }
            Action::Forward { request, engine, timeout } => Step::Route {
                who,
                job: request.0,
                engine: self.engines.names[engine.0 as usize].clone(),
                max_wait_s: timeout,
            },
            Action::CancelAttempt { request, attempt } => Step::StopAttempt { who, job: request.0, attempt },
            Action::Reject { request, retry_after } => {
                Step::OverloadReply { who, job: request.0, wait_s: retry_after }
            }
            Action::Fail(request) => Step::RespondError { who, job: request.0 },
            Action::SetTimer { delay, token, .. } => Step::Remind { who, delay_s: delay, nonce: token },
            Action::CheckHealth(engine) => {
                Step::Touch { who, engine: self.engines.names[engine.0 as usize].clone() }
            }
            Action::WatchEndpointList => Step::Observe { who, active: true },
        }
    }
}

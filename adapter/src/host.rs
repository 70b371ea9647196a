//! Hosts many gateways on one wire and translates for them. Gateways share nothing: names are
//! numbered for each of them on its own, in the order in which it met them.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use notchridge::Gateway;
use notchridge::interface::*;

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
    gateway: Gateway,
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
            kinds: (0..env.kinds.len())
                .map(|i| Kind {
                    cores: d.kind_cores.get(i).copied().unwrap_or(1.0),
                    memory_mb: d.memory_by_kind_mb.get(i).copied().unwrap_or(0.0),
                })
                .collect(),
            tenants: env.projects.iter().map(|p| Tenant { quota: p.quota_per_s }).collect(),
            over_share_worth: env.over_share_worth,
            rules: Rules {
                answer_slack: r.answer_slack_s,
                drain_grace: r.drain_grace_s,
                cold_share: r.cold_share,
                warm_up: r.warm_up_s,
                fall_multiple: r.fall_multiple,
                overload_for: r.overload_for_s,
                order_pause: r.order_pause_s,
                extra: r.look_back_s.map(|look_back| ExtraBudget {
                    floor: r.extra_floor.unwrap_or(0.0),
                    ratio: r.extra_ratio.unwrap_or(0.0),
                    look_back,
                }),
            },
            allowed: Allowed {
                cancel: a.cancelling,
                probe: a.probing,
                reports: match env.report.how.as_str() {
                    "probe" if a.probing => Reports::Probes,
                    "none" | "probe" => Reports::None,
                    _ => Reports::Answers,
                },
                ask_for_list: env.discovery == "ask",
                retry_after: a.retry_after,
                max_retry_after: a.max_retry_after_s,
                max_attempts: a.max_attempts,
                grants: d.grants_count,
                priorities: d.takes_priority,
                note_period: d.note_period_s,
            },
            when_short: match d.when_short {
                wire::WhenShort::Wait => WhenShort::Wait,
                wire::WhenShort::Shrink => WhenShort::Shrink,
                wire::WhenShort::Page => WhenShort::Page,
            },
            resolution: env.resolution_s,
        };
        Ok(Self {
            gateway: Gateway::new(settings, salt)?,
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

    fn entry(&mut self, e: &Element, event: usize) -> Result<EngineEntry, HostError> {
        Ok(EngineEntry {
            engine: self.engine(&e.engine),
            zone: ZoneId(self.zones.number(&e.failure_domain)),
            kind: KindId(self.kinds.number(&e.generation_hw)),
            cell: e.group,
            state: match e.state {
                0 => EngineState::Gone,
                1 => EngineState::Ready,
                2 => EngineState::Draining,
                value => return Err(HostError::UnknownNumber { event, what: "engine state", value }),
            },
            started: (e.since_s > 0.0).then_some(e.since_s),
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
            estimate: w.estimate_s,
            need_mb: w.need_mb.filter(|mb| *mb > 0.0),
            group: w.tables.map(|t| GroupId(t as u64)),
            retry: w.retry,
        })
    }

    fn report(&self, values: Option<BTreeMap<String, f64>>) -> Option<Report> {
        let values = values?;
        let extra = |meaning: &str| {
            let named = |name: &str, stands_for: &str| {
                stands_for.contains(meaning).then(|| values.get(name).copied()).flatten()
            };
            named("x0", &self.report_x0).or_else(|| named("x1", &self.report_x1))
        };
        Some(Report {
            inflight: values.get("inflight").copied(),
            queue: values.get("queue").copied(),
            cores_busy: values.get("util").copied(),
            memory_granted: extra("memory"),
            disks_busy: extra("disk"),
        })
    }
}

fn class(c: &wire::Class, i: usize, d: &wire::Domain, kinds: &mut Names, zones: &mut Names) -> Class {
    let effect = match c.repeat {
        wire::Repeat::Pure => Effect::Safe,
        wire::Repeat::SideEffect => Effect::Unsafe,
        wire::Repeat::Token => Effect::Keyed {
            group: match c.group {
                wire::Group::All => RepeatGroup::All,
                wire::Group::Zone => RepeatGroup::Zone,
                wire::Group::Cell => RepeatGroup::Cell,
            },
            window: c.window_s,
        },
    };
    let flag = |list: &[bool]| list.get(i).copied().unwrap_or(false);
    Class {
        aim: c.aim_s,
        aim_stretch: c.aim_stretch,
        deadline: c.deadline_s,
        worth: c.worth,
        late_value: c.late_value,
        effect,
        keep_order: c.keep_order,
        only_kinds: c.allowed_on.as_ref().map(|l| l.iter().map(|k| KindId(kinds.number(k))).collect()),
        only_zones: c.confined_to.as_ref().map(|l| l.iter().map(|z| ZoneId(zones.number(z))).collect()),
        threads: d.parallelism.get(i).copied().unwrap_or(1),
        load: flag(&d.holds_tables),
        yields: flag(&d.yields_to_loads),
        streaming: c.streaming,
    }
}

fn outcome(how: wire::How) -> Outcome {
    match how {
        wire::How::Success => Outcome::Success,
        wire::How::Failure => Outcome::Failure,
        wire::How::Overloaded => Outcome::Overloaded,
        wire::How::TimedOut => Outcome::TimedOut,
        wire::How::Unreachable => Outcome::Unreachable,
        wire::How::Broken => Outcome::Broken,
        wire::How::Withdrawn => Outcome::Withdrawn,
        wire::How::Void => Outcome::Void,
    }
}

fn cost(used_up: u64) -> Option<Cost> {
    (used_up > 0)
        .then(|| Cost { work: (used_up / 4096) as f64 / 1000.0, memory_mb: (used_up % 4096) as f64 * 4.0 })
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
                    0 => ListMode::Delta,
                    1 => ListMode::Full,
                    2 => ListMode::Cached,
                    3 => ListMode::Failed,
                    value => return Err(HostError::UnknownNumber { event: n, what: "roster mode", value }),
                };
                let seat = seat(&mut self.seats, n, &change.who)?;
                let mut entries = Vec::new();
                if mode != ListMode::Failed {
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
                seat.tell(now, change.who, &Event::List { mode, entries }, reply);
            }
            wire::Event::WorkItem(item) => {
                let who = item.who.clone();
                let seat = seat(&mut self.seats, n, &who)?;
                let request = seat.request(item, n)?;
                seat.tell(now, who, &Event::Arrived(request), reply);
            }
            wire::Event::Established(a) => {
                let event = Event::Started { request: RequestId(a.job), attempt: a.attempt };
                seat(&mut self.seats, n, &a.who)?.tell(now, a.who, &event, reply);
            }
            wire::Event::UpdateOf(u) => {
                let note = match (u.what, u.amount) {
                    (1, share) => Note::Progress(share),
                    (2, mb) => Note::Spills(mb),
                    (3, load) if load >= 2.0 => Note::WaitsForLoad,
                    (3, _) => Note::WaitsForMemory,
                    (value, _) => {
                        return Err(HostError::UnknownNumber { event: n, what: "kind of news", value });
                    }
                };
                let event = Event::Noted { request: RequestId(u.job), attempt: u.attempt, note };
                seat(&mut self.seats, n, &u.who)?.tell(now, u.who, &event, reply);
            }
            wire::Event::ReportBack(r) => {
                let seat = seat(&mut self.seats, n, &r.who)?;
                let event = Event::Ended {
                    request: RequestId(r.job),
                    attempt: r.attempt,
                    engine: seat.engine(&r.engine),
                    outcome: outcome(r.how),
                    elapsed: r.rtt_s,
                    settled: r.settled,
                    may_run_for: 0.0,
                    cost: cost(r.used_up),
                    report: seat.report(r.feedback),
                };
                seat.tell(now, r.who, &event, reply);
            }
            wire::Event::Aborted { who, job } => {
                seat(&mut self.seats, n, &who)?.tell(now, who, &Event::Aborted(RequestId(job)), reply);
            }
            wire::Event::Bell { who, nonce } => {
                seat(&mut self.seats, n, &who)?.tell(now, who, &Event::Timer(nonce), reply);
            }
            wire::Event::CheckResult(c) => {
                let seat = seat(&mut self.seats, n, &c.who)?;
                let event = Event::Probed {
                    engine: seat.engine(&c.engine),
                    outcome: outcome(c.how),
                    elapsed: c.rtt_s,
                    report: seat.report(c.feedback),
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
            Action::Terms { request, memory_mb, priority } => {
                Step::Allot { who, job: request.0, memory: memory_mb, priority }
            }
            Action::Send { request, engine, timeout } => Step::Route {
                who,
                job: request.0,
                engine: self.engines.names[engine.0 as usize].clone(),
                max_wait_s: timeout,
            },
            Action::Cancel { request, attempt } => Step::StopAttempt { who, job: request.0, attempt },
            Action::Refuse { request, retry_after } => {
                Step::OverloadReply { who, job: request.0, wait_s: retry_after }
            }
            Action::Fail(request) => Step::RespondError { who, job: request.0 },
            Action::SetTimer { delay, token, .. } => Step::Remind { who, delay_s: delay, nonce: token },
            Action::Probe(engine) => {
                Step::Touch { who, engine: self.engines.names[engine.0 as usize].clone() }
            }
            Action::Subscribe => Step::Observe { who, active: true },
        }
    }
}

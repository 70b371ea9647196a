//! The rules of the protocol, judged from a log of what clients, engines and the coordinator did and saw. Nothing here
//! knows the gateway.
//!
//! Stamps are taken so that lateness of the machine never condemns: what a peer does is stamped before it does it,
//! what it sees is stamped after it has seen it. Where a rule compares two stamps that no message orders, the
//! [`Allowance`] is granted on top.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An engine ends a query that it has not been asked for in this long.
pub const UNASKED: Duration = Duration::from_secs(2);
/// Every time limit is longer by this on sockets.
pub const ON_SOCKETS: Duration = Duration::from_millis(50);

/// A request's number; it stands in its statement, so that engines know a request without its id.
pub type Serial = usize;
/// An engine's place in [`Terms::engines`].
pub type EngineNo = usize;

/// What repeating a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    /// Engines of the group drop repeats for a while.
    Keyed {
        group: Group,
        window: Duration,
    },
    Unsafe,
}

/// Which engines know a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    pub ordered: bool,
    pub effect: Effect,
    pub deadline: Duration,
}

#[derive(Clone, Debug)]
pub struct EngineFacts {
    pub name: String,
    pub zone: String,
    pub cell: u64,
}

/// A request as its client words it.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub id: Option<String>,
    /// Milliseconds, as written.
    pub wait_ms: Option<f64>,
    pub key: Option<String>,
    pub token: Option<String>,
    pub statement: String,
    /// The request that was written ahead of it on its connection without waiting for the answer.
    pub behind: Option<Serial>,
}

/// What a deployment's settings say.
#[derive(Clone, Debug)]
pub struct Terms {
    pub classes: Vec<Class>,
    pub engines: Vec<EngineFacts>,
    pub requests: Vec<Request>,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub max_attempts: usize,
    pub settle: Duration,
    pub grace: Duration,
    pub slack: Duration,
}

/// The fields of a call that starts a query, as the engine got them.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub query_id: Option<String>,
    pub class: Option<String>,
    pub max_ms: Option<String>,
    pub token: Option<String>,
    pub rank: Option<String>,
    pub grant_mb: Option<String>,
    pub statement: String,
}

/// How an engine ended an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, with these rows.
    Rows(Vec<String>),
    /// It may have run.
    Error,
    /// Proved not to have run.
    NeverRan,
}

/// A client's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Rows(Vec<String>),
    /// The error's code.
    Error(String),
}

impl Answer {
    fn invites(&self) -> bool {
        matches!(self, Answer::Error(code) if code.starts_with("53") || code == "57P03")
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A client is about to write a request's last byte.
    Writing(Serial),
    /// It has written it.
    Written(Serial),
    Answered(Serial, Answer),
    /// Its connection ended without a whole answer.
    CutOff(Serial),
    /// A client stops waiting: no answer is owed.
    Left(Serial),
    /// A call that starts a query has come whole.
    Arrived(EngineNo, Call),
    /// A call for news or a page has come.
    Asked(EngineNo, Serial),
    /// The engine is about to write the last of an attempt's end.
    Ending(EngineNo, Serial, End),
    /// A DELETE has come whole.
    GivenUp(EngineNo, Serial),
    /// The engine's process is about to die with the query, and to reset its connection.
    Dying(EngineNo, Serial),
    /// The coordinator has told this of an engine.
    Told(EngineNo, State),
    Probed(EngineNo),
}

/// An event and when it was stamped, from the log's start.
#[derive(Clone, Debug)]
pub struct Entry {
    pub at: Duration,
    pub event: Event,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request is answered.
    Answer,
    /// In time.
    Time,
    /// Once.
    OneAnswer,
    /// Served with what an engine made for it, whole.
    Result,
    /// One request of a key at a time.
    OneOfKey,
    /// In the order in which they were taken.
    Order,
    /// A key rests after an attempt that may still run.
    Rest,
    /// No second attempt while the first is out.
    OneAttempt,
    /// No more attempts than the settings let it have.
    Attempts,
    /// Once-only work runs once.
    Once,
    /// Nobody is invited to repeat once-only work that may have run.
    Invitation,
    /// Repeats go to engines that know them as such.
    Repeat,
    /// Nothing new for engines that drain or have gone.
    Drain,
    /// Fields come through.
    Fields,
    /// No cancel where it is not allowed.
    Cancel,
    /// No probe where it is not allowed.
    Probe,
}

#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    pub request: Option<Serial>,
    pub what: String,
}

/// How late stamps may be that no message orders.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// For spans of the gateway's own timers, which began with a message.
    pub timers: Duration,
    /// For news on its way and answers.
    pub passage: Duration,
}

impl Allowance {
    /// For a machine whose threads were seen to wake up this late.
    pub fn of(lateness: Duration) -> Self {
        Self {
            timers: Duration::from_millis(50) + 2 * lateness,
            passage: Duration::from_millis(500) + 4 * lateness,
        }
    }
}

/// An attempt as its engine saw it.
#[derive(Debug)]
struct Attempt {
    request: Serial,
    engine: EngineNo,
    /// Its place in the log.
    index: usize,
    at: Duration,
    asked: Duration,
    end: Option<(Duration, Ended)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Rows,
    Error,
    NeverRan,
    GivenUp,
    Died,
}

impl Attempt {
    /// Until when it surely was out, at least.
    fn out_until(&self, allowance: Allowance) -> Duration {
        match self.end {
            Some((at, _)) => at,
            None => (self.asked + UNASKED).saturating_sub(allowance.timers),
        }
    }

    fn may_have_run(&self) -> bool {
        !matches!(self.end, Some((_, Ended::NeverRan)))
    }

    /// Until when its key rests, at least.
    fn rests_until(&self, settle: Duration, allowance: Allowance) -> Duration {
        match self.end {
            Some((at, Ended::GivenUp | Ended::Died)) => (at + settle).saturating_sub(allowance.timers),
            Some((at, _)) => at,
            None => (self.asked + settle).saturating_sub(allowance.timers),
        }
    }
}

/// Judges a log.
pub fn audit(terms: &Terms, log: &[Entry], allowance: Allowance) -> Vec<Breach> {
    let mut auditor = Auditor { terms, log, allowance, attempts: Vec::new(), breaches: Vec::new() };
    auditor.gather();
    auditor.answers();
    auditor.attempts();
    auditor.keys();
    auditor.drains();
    auditor.breaches
}

/// The request whose number stands in a statement.
pub fn serial_of(statement: &str) -> Option<Serial> {
    let (_, rest) = statement.split_once("tag = '#")?;
    rest.split_once('\'')?.0.parse().ok()
}

struct Auditor<'a> {
    terms: &'a Terms,
    log: &'a [Entry],
    allowance: Allowance,
    attempts: Vec<Attempt>,
    breaches: Vec<Breach>,
}

impl Auditor<'_> {
    fn breach(&mut self, rule: Rule, request: Serial, what: String) {
        self.breaches.push(Breach { rule, request: Some(request), what });
    }

    fn class(&self, request: Serial) -> &Class {
        &self.terms.classes[self.terms.requests[request].class]
    }

    /// When the first entry of some kind was stamped.
    fn stamp(&self, is: impl Fn(&Event) -> bool) -> Option<Duration> {
        self.log.iter().find(|entry| is(&entry.event)).map(|entry| entry.at)
    }

    /// Puts attempts together, and judges each call by itself.
    fn gather(&mut self) {
        for (index, entry) in self.log.iter().enumerate() {
            let at = entry.at;
            match &entry.event {
                Event::Arrived(engine, call) => self.arrived(index, at, *engine, call),
                Event::Asked(engine, request) => {
                    if let Some(attempt) = self.last(*engine, *request) {
                        attempt.asked = at;
                    }
                }
                Event::Ending(engine, request, end) => {
                    let ended = match end {
                        End::Rows(_) => Ended::Rows,
                        End::Error => Ended::Error,
                        End::NeverRan => Ended::NeverRan,
                    };
                    self.ended(*engine, *request, at, ended);
                }
                Event::GivenUp(engine, request) => {
                    self.ended(*engine, *request, at, Ended::GivenUp);
                    if !self.terms.may_cancel {
                        let what = format!("engine {engine} was told to give it up");
                        self.breach(Rule::Cancel, *request, what);
                    }
                }
                Event::Dying(engine, request) => self.ended(*engine, *request, at, Ended::Died),
                Event::Probed(engine) if !self.terms.may_probe => {
                    let what = format!("engine {engine} was probed");
                    self.breaches.push(Breach { rule: Rule::Probe, request: None, what });
                }
                _ => {}
            }
        }
    }

    fn last(&mut self, engine: EngineNo, request: Serial) -> Option<&mut Attempt> {
        self.attempts.iter_mut().rev().find(|a| a.engine == engine && a.request == request)
    }

    fn ended(&mut self, engine: EngineNo, request: Serial, at: Duration, how: Ended) {
        if let Some(attempt) = self.last(engine, request) {
            attempt.end.get_or_insert((at, how));
        }
    }

    fn arrived(&mut self, index: usize, at: Duration, engine: EngineNo, call: &Call) {
        let request = serial_of(&call.statement).filter(|serial| *serial < self.terms.requests.len());
        let Some(request) = request else {
            let what = format!("no client sent {:?}", call.statement);
            return self.breaches.push(Breach { rule: Rule::Fields, request: None, what });
        };
        self.attempts.push(Attempt { request, engine, index, at, asked: at, end: None });
        for what in self.wrong_fields(request, call) {
            self.breach(Rule::Fields, request, what);
        }
    }

    /// What is wrong with the fields of a call.
    fn wrong_fields(&self, request: Serial, call: &Call) -> Vec<String> {
        let (asked, class) = (&self.terms.requests[request], self.class(request));
        let mut wrong = Vec::new();
        let query_id = call.query_id.as_deref().unwrap_or("");
        let is_id = query_id.len() == 16 && query_id.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_id || asked.id.as_deref().is_some_and(|id| id != query_id) {
            wrong.push(format!("X-Ticket {query_id:?} for the id {:?}", asked.id));
        }
        if call.class.as_deref() != Some(&class.name) {
            wrong.push(format!("X-Queue {:?} for the class {}", call.class, class.name));
        }
        let most_ms = asked.wait_ms.unwrap_or(class.deadline.as_secs_f64() * 1000.0);
        let max_ms = call.max_ms.as_deref().and_then(|ms| ms.parse::<u64>().ok()).unwrap_or(0);
        if max_ms == 0 || max_ms as f64 > most_ms {
            wrong.push(format!("X-Max-Ms {:?} for a wait of {most_ms} ms", call.max_ms));
        }
        if call.statement.trim_ascii_start() != asked.statement {
            wrong.push(format!("the statement {:?} for {:?}", call.statement, asked.statement));
        }
        if call.token != asked.token {
            wrong.push(format!("X-Nonce {:?} for the token {:?}", call.token, asked.token));
        }
        if call.rank.as_ref().is_some_and(|rank| !["0", "1", "2", "3"].contains(&rank.as_str())) {
            wrong.push(format!("Rank {:?}", call.rank));
        }
        if call.grant_mb.as_ref().is_some_and(|mb| mb.parse::<f64>().is_err()) {
            wrong.push(format!("Grant-Mb {:?}", call.grant_mb));
        }
        wrong
    }

    /// One final answer for each request, in time, and what it may say.
    fn answers(&mut self) {
        for request in 0..self.terms.requests.len() {
            let of = |event: &Event| matches!(event, Event::Answered(serial, _) if *serial == request);
            let answers: Vec<&Entry> = self.log.iter().filter(|entry| of(&entry.event)).collect();
            let left = self.stamp(|event| matches!(event, Event::Left(serial) if *serial == request));
            let written = self.stamp(|event| matches!(event, Event::Written(serial) if *serial == request));
            let Some(written) = written else { continue };
            if answers.len() > 1 {
                self.breach(Rule::OneAnswer, request, format!("{} answers", answers.len()));
            }
            let Some(first) = answers.first() else {
                let cut_off = |event: &Event| matches!(event, Event::CutOff(serial) if *serial == request);
                let what = match self.stamp(cut_off) {
                    Some(at) => format!("its connection ended at {at:?} without a whole answer"),
                    None => "nothing came".to_owned(),
                };
                if left.is_none() {
                    self.breach(Rule::Answer, request, what);
                }
                continue;
            };
            if left.is_none() {
                self.in_time(request, written, first.at);
            }
            let Event::Answered(_, answer) = &first.event else { continue };
            self.is_true(request, first.at, answer);
        }
    }

    fn in_time(&mut self, request: Serial, written: Duration, answered: Duration) {
        let asked = &self.terms.requests[request];
        let deadline = self.class(request).deadline;
        let wait = asked.wait_ms.map_or(deadline, |ms| Duration::from_secs_f64(ms / 1000.0).min(deadline));
        // A session carries one query at a time: what was written behind another begins with that one's end.
        let behind =
            |event: &Event| matches!(event, Event::Answered(serial, _) if Some(*serial) == asked.behind);
        let from = self.stamp(behind).map_or(written, |ended| ended.max(written));
        let limit = from + wait + self.terms.slack + ON_SOCKETS + self.allowance.passage;
        if answered > limit {
            let took = answered.saturating_sub(from);
            self.breach(Rule::Time, request, format!("answered after {took:?} with a wait of {wait:?}"));
        }
    }

    fn is_true(&mut self, request: Serial, answered: Duration, answer: &Answer) {
        let made = |entry: &Entry| match (&entry.event, answer) {
            (Event::Ending(_, serial, End::Rows(made)), Answer::Rows(rows)) => {
                *serial == request && made == rows && entry.at <= answered
            }
            _ => false,
        };
        if matches!(answer, Answer::Rows(_)) && !self.log.iter().any(made) {
            self.breach(Rule::Result, request, format!("no engine made {answer:?}"));
        }
        let ran = |a: &Attempt| {
            let never = matches!(a.end, Some((_, Ended::NeverRan)));
            a.request == request && a.at <= answered && !never
        };
        let once = self.class(request).effect == Effect::Unsafe;
        if once && answer.invites() && self.attempts.iter().any(ran) {
            self.breach(Rule::Invitation, request, format!("{answer:?} for work that may have run"));
        }
    }

    /// What the attempts of one request may be.
    fn attempts(&mut self) {
        let mut by_request: BTreeMap<Serial, Vec<usize>> = BTreeMap::new();
        for (at, attempt) in self.attempts.iter().enumerate() {
            by_request.entry(attempt.request).or_default().push(at);
        }
        for (request, attempts) in by_request {
            if self.terms.max_attempts > 0 && attempts.len() > self.terms.max_attempts {
                self.breach(Rule::Attempts, request, format!("{} attempts", attempts.len()));
            }
            for (n, later) in attempts.iter().enumerate() {
                for earlier in &attempts[..n] {
                    self.pair(request, *earlier, *later);
                }
            }
        }
    }

    fn pair(&mut self, request: Serial, earlier: usize, later: usize) {
        let (earlier, later) = (&self.attempts[earlier], &self.attempts[later]);
        let out_until = earlier.out_until(self.allowance);
        let mut found = Vec::new();
        if later.at < out_until {
            let what = format!("an attempt at {:?} while one was out until {out_until:?}", later.at);
            found.push((Rule::OneAttempt, what));
        }
        if earlier.may_have_run() {
            match self.class(request).effect {
                Effect::Safe => {}
                Effect::Unsafe => {
                    let what = format!("sent again at {:?} when it may have run", later.at);
                    found.push((Rule::Once, what));
                }
                Effect::Keyed { group, window } => {
                    let (first, second) =
                        (&self.terms.engines[earlier.engine], &self.terms.engines[later.engine]);
                    let known = match group {
                        Group::All => true,
                        Group::Zone => first.zone == second.zone,
                        Group::Cell => first.cell == second.cell,
                    };
                    if !known || later.at > earlier.at + window + self.allowance.timers {
                        let what = format!(
                            "sent again to {} at {:?}, first to {} at {:?}",
                            second.name, later.at, first.name, earlier.at
                        );
                        found.push((Rule::Repeat, what));
                    }
                }
            }
        }
        for (rule, what) in found {
            self.breach(rule, request, what);
        }
    }

    /// Requests of one key run one at a time and in order, and a key rests.
    fn keys(&mut self) {
        let mut lines: BTreeMap<(usize, &str), Vec<Serial>> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for entry in self.log {
            let Event::Written(request) = entry.event else { continue };
            let asked = &self.terms.requests[request];
            let (true, Some(key)) = (self.class(request).ordered, &asked.key) else { continue };
            if seen.insert(request) {
                lines.entry((asked.class, key)).or_default().push(request);
            }
        }
        let mut found = Vec::new();
        for line in lines.values() {
            let place = |request: Serial| line.iter().position(|r| *r == request);
            let attempts: Vec<&Attempt> =
                self.attempts.iter().filter(|a| place(a.request).is_some()).collect();
            for (n, later) in attempts.iter().enumerate() {
                for earlier in attempts[..n].iter().filter(|a| a.request != later.request) {
                    found.extend(self.neighbours(
                        earlier,
                        later,
                        place(earlier.request) > place(later.request),
                    ));
                }
            }
        }
        for (rule, request, what) in found {
            self.breach(rule, request, what);
        }
    }

    fn neighbours(&self, earlier: &Attempt, later: &Attempt, passed: bool) -> Option<(Rule, Serial, String)> {
        debug_assert!(earlier.index < later.index);
        let request = later.request;
        let out_until = earlier.out_until(self.allowance);
        let rests_until = earlier.rests_until(self.terms.settle, self.allowance);
        let other = earlier.request;
        let at = later.at;
        if passed {
            return Some((Rule::Order, request, format!("went out behind {other}, which was taken later")));
        }
        if at < out_until {
            let what = format!("went out at {at:?} while {other} of its key was out until {out_until:?}");
            return Some((Rule::OneOfKey, request, what));
        }
        let what = || format!("went out at {at:?}, its key was to rest for {other} until {rests_until:?}");
        (at < rests_until).then(|| (Rule::Rest, request, what()))
    }

    /// Nothing new goes to an engine that has been told to drain, or gone. A send is no older than the request, nor
    /// than the end of the attempt before it.
    fn drains(&mut self) {
        let mut found = Vec::new();
        for (n, attempt) in self.attempts.iter().enumerate() {
            let told = self.log.iter().find_map(|entry| match entry.event {
                Event::Told(engine, state) if engine == attempt.engine => Some((entry.at, state)),
                _ => None,
            });
            let Some((told, state)) = told else { continue };
            let request = attempt.request;
            let writing = self.stamp(|event| matches!(event, Event::Writing(serial) if *serial == request));
            let before = self.attempts[..n].iter().rev().find(|a| a.request == request);
            let before = before.and_then(|a| a.end).map_or(Duration::ZERO, |(at, _)| at);
            let sent = writing.unwrap_or(Duration::ZERO).max(before);
            let sent = sent.max(attempt.at.saturating_sub(self.allowance.passage));
            if sent > told + self.terms.grace + self.allowance.passage {
                let what = format!("sent after {sent:?} to engine {}, {state:?} at {told:?}", attempt.engine);
                found.push((request, what));
            }
        }
        for (request, what) in found {
            self.breach(Rule::Drain, request, what);
        }
    }
}

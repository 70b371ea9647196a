//! Checks the rules of the protocol against a log of the events at clients, engines and the discovery service. The
//! gateway is a black box here.
//!
//! Scheduling delays must not cause false violations. A peer therefore logs an action before it performs it, and an
//! observation after it. Rules that compare the timestamps of events not linked by a message allow for the
//! [`Tolerance`].
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without a poll after which an engine ends a query.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to the time limit of an answer for the delays of real sockets.
pub const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);

/// Position of a request in [`Spec::requests`]. Every statement contains it, so that engines recognize requests without
/// an id.
pub type RequestIndex = usize;
/// Position of an engine in [`Spec::engines`].
pub type EngineIndex = usize;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Safe,
    /// During the window, engines of the group do not execute a second request with the same idempotency key.
    Keyed {
        group: Group,
        window: Duration,
    },
    Unsafe,
}

/// Engines that share the idempotency keys that they have received.
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
    pub retry_safety: RetrySafety,
    pub deadline: Duration,
}

#[derive(Clone, Debug)]
pub struct EngineInfo {
    pub name: String,
    pub zone: String,
    pub cell: u64,
}

/// A request as its client sends it.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub id: Option<String>,
    /// The request's field `d`.
    pub timeout_ms: Option<f64>,
    pub order_key: Option<String>,
    pub idempotency_key: Option<String>,
    pub statement: String,
    /// The unanswered request that this one was pipelined after on its connection.
    pub follows: Option<RequestIndex>,
}

/// The settings of a deployment, its engines, and the requests of its clients.
#[derive(Clone, Debug)]
pub struct Spec {
    pub classes: Vec<Class>,
    pub engines: Vec<EngineInfo>,
    pub requests: Vec<Request>,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Maximum number of attempts of a request. 0 for no limit.
    pub max_attempts: usize,
    pub key_cooldown: Duration,
    pub drain_grace: Duration,
    pub answer_slack: Duration,
}

/// A call that starts a query, as received by the engine.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub query_id: Option<String>,
    pub class: Option<String>,
    pub max_ms: Option<String>,
    pub idempotency_key: Option<String>,
    pub rank: Option<String>,
    pub grant_mb: Option<String>,
    pub statement: String,
}

/// Outcome of an attempt, as reported by its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rows of the result.
    Rows(Vec<String>),
    /// The query failed and may have run.
    Error,
    /// The query was rejected before it ran.
    NeverRan,
}

/// The answer that a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Rows(Vec<String>),
    /// The SQLSTATE.
    Error(String),
}

impl Answer {
    fn invites_retry(&self) -> bool {
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
    /// A client is about to write a request.
    Writing(RequestIndex),
    /// A client has written a request.
    Written(RequestIndex),
    Answered(RequestIndex, Answer),
    /// The client's connection ended without a complete answer.
    ConnectionEnded(RequestIndex),
    /// A client has disconnected or cancelled. No answer is required any more.
    ClientLeft(RequestIndex),
    /// An engine has received a call that starts a query.
    Arrived(EngineIndex, Call),
    /// An engine has received a poll of a query, or a call for a page of its result.
    Polled(EngineIndex, RequestIndex),
    /// An engine is about to write the final response of an attempt.
    Ending(EngineIndex, RequestIndex, Outcome),
    /// An engine has received a DELETE for a query.
    Cancelled(EngineIndex, RequestIndex),
    /// An engine process is about to crash with the query and to reset its connections.
    Crashing(EngineIndex, RequestIndex),
    /// The discovery service has sent a state of an engine.
    StateAnnounced(EngineIndex, State),
    /// An engine has received a health check.
    HealthChecked(EngineIndex),
}

/// An event and its time since the start of the log.
#[derive(Clone, Debug)]
pub struct Entry {
    pub at: Duration,
    pub event: Event,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request is answered.
    Answered,
    /// A request is answered before its deadline.
    Deadline,
    /// A request is answered once.
    SingleAnswer,
    /// The rows in an answer are all rows that an engine produced for the request.
    CorrectRows,
    /// Requests with the same order key run one at a time.
    OneRequestPerKey,
    /// Requests with the same order key run in the order of their admission.
    KeyOrder,
    /// An order key has a cooldown after an attempt that may still be running.
    KeyCooldown,
    /// A request has at most one attempt in flight.
    OneAttemptInFlight,
    /// The number of attempts stays within the settings.
    MaxAttempts,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// No error invites the client to retry a request that is not idempotent and may have run.
    RetryInvitation,
    /// Retries with an idempotency key go to engines of the same group, within the window.
    RetryPlacement,
    /// No new attempt is sent to an engine that is draining or gone, except within the grace period.
    NoAttemptAfterDrain,
    /// Fields of the request reach the engine unchanged.
    UnchangedFields,
    /// Attempts are not cancelled where the settings forbid it.
    NoForbiddenCancellation,
    /// Engines are not health-checked where the settings forbid it.
    NoForbiddenHealthCheck,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub request: Option<RequestIndex>,
    pub detail: String,
}

/// Tolerated delay between the timestamps of events that are not linked by a message.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// For timers of the gateway that a message starts.
    pub timers: Duration,
    /// For the delivery of endpoint events and answers.
    pub delivery: Duration,
}

impl Tolerance {
    /// The tolerance on a machine with this timer lag.
    pub fn of(timer_lag: Duration) -> Self {
        Self {
            timers: Duration::from_millis(50) + 2 * timer_lag,
            delivery: Duration::from_millis(500) + 4 * timer_lag,
        }
    }
}

/// An attempt as its engine observed it.
#[derive(Debug)]
struct Attempt {
    request: RequestIndex,
    engine: EngineIndex,
    log_index: usize,
    at: Duration,
    /// Time of the last poll, or of the arrival before the first poll.
    polled_at: Duration,
    end: Option<(Duration, End)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Rows,
    Error,
    NeverRan,
    Cancelled,
    Crashed,
}

impl Attempt {
    /// Earliest time at which the attempt may have ended.
    fn in_flight_until(&self, tolerance: Tolerance) -> Duration {
        match self.end {
            Some((at, _)) => at,
            None => (self.polled_at + POLL_TIMEOUT).saturating_sub(tolerance.timers),
        }
    }

    fn may_have_run(&self) -> bool {
        !matches!(self.end, Some((_, End::NeverRan)))
    }

    /// Earliest time at which the cooldown of the attempt's order key may end.
    fn cooldown_until(&self, cooldown: Duration, tolerance: Tolerance) -> Duration {
        match self.end {
            Some((at, End::Cancelled | End::Crashed)) => (at + cooldown).saturating_sub(tolerance.timers),
            Some((at, _)) => at,
            None => (self.polled_at + cooldown).saturating_sub(tolerance.timers),
        }
    }
}

/// Checks all rules and returns the violations found.
pub fn audit(spec: &Spec, log: &[Entry], tolerance: Tolerance) -> Vec<Violation> {
    let mut auditor = Auditor { spec, log, tolerance, attempts: Vec::new(), violations: Vec::new() };
    auditor.collect_attempts();
    auditor.check_answers();
    auditor.check_attempts();
    auditor.check_order_keys();
    auditor.check_drains();
    auditor.violations
}

/// The request whose index a statement contains.
pub fn request_of(statement: &str) -> Option<RequestIndex> {
    let (_, rest) = statement.split_once("tag = '#")?;
    rest.split_once('\'')?.0.parse().ok()
}

struct Auditor<'a> {
    spec: &'a Spec,
    log: &'a [Entry],
    tolerance: Tolerance,
    attempts: Vec<Attempt>,
    violations: Vec<Violation>,
}

impl Auditor<'_> {
    fn report(&mut self, rule: Rule, request: RequestIndex, detail: String) {
        self.violations.push(Violation { rule, request: Some(request), detail });
    }

    fn class(&self, request: RequestIndex) -> &Class {
        &self.spec.classes[self.spec.requests[request].class]
    }

    /// Time of the first event that matches.
    fn first_at(&self, matches: impl Fn(&Event) -> bool) -> Option<Duration> {
        self.log.iter().find(|entry| matches(&entry.event)).map(|entry| entry.at)
    }

    /// Builds the list of attempts and checks the rules that concern a single call.
    fn collect_attempts(&mut self) {
        for (log_index, entry) in self.log.iter().enumerate() {
            let at = entry.at;
            match &entry.event {
                Event::Arrived(engine, call) => self.attempt_arrived(log_index, at, *engine, call),
                Event::Polled(engine, request) => {
                    if let Some(attempt) = self.last_attempt(*engine, *request) {
                        attempt.polled_at = at;
                    }
                }
                Event::Ending(engine, request, outcome) => {
                    let end = match outcome {
                        Outcome::Rows(_) => End::Rows,
                        Outcome::Error => End::Error,
                        Outcome::NeverRan => End::NeverRan,
                    };
                    self.end_attempt(*engine, *request, at, end);
                }
                Event::Cancelled(engine, request) => {
                    self.end_attempt(*engine, *request, at, End::Cancelled);
                    if !self.spec.may_cancel {
                        let detail = format!("engine {engine} received a cancellation");
                        self.report(Rule::NoForbiddenCancellation, *request, detail);
                    }
                }
                Event::Crashing(engine, request) => self.end_attempt(*engine, *request, at, End::Crashed),
                Event::HealthChecked(engine) if !self.spec.may_probe => {
                    let detail = format!("engine {engine} received a health check");
                    self.violations.push(Violation {
                        rule: Rule::NoForbiddenHealthCheck,
                        request: None,
                        detail,
                    });
                }
                _ => {}
            }
        }
    }

    fn last_attempt(&mut self, engine: EngineIndex, request: RequestIndex) -> Option<&mut Attempt> {
        self.attempts.iter_mut().rev().find(|a| a.engine == engine && a.request == request)
    }

    fn end_attempt(&mut self, engine: EngineIndex, request: RequestIndex, at: Duration, end: End) {
        if let Some(attempt) = self.last_attempt(engine, request) {
            attempt.end.get_or_insert((at, end));
        }
    }

    fn attempt_arrived(&mut self, log_index: usize, at: Duration, engine: EngineIndex, call: &Call) {
        let request = request_of(&call.statement).filter(|index| *index < self.spec.requests.len());
        let Some(request) = request else {
            let detail = format!("no client sent {:?}", call.statement);
            return self.violations.push(Violation { rule: Rule::UnchangedFields, request: None, detail });
        };
        self.attempts.push(Attempt { request, engine, log_index, at, polled_at: at, end: None });
        for detail in self.field_errors(request, call) {
            self.report(Rule::UnchangedFields, request, detail);
        }
    }

    fn field_errors(&self, request: RequestIndex, call: &Call) -> Vec<String> {
        let (sent, class) = (&self.spec.requests[request], self.class(request));
        let mut errors = Vec::new();
        let query_id = call.query_id.as_deref().unwrap_or("");
        let is_id = query_id.len() == 16 && query_id.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_id || sent.id.as_deref().is_some_and(|id| id != query_id) {
            errors.push(format!("X-Ticket {query_id:?} for the id {:?}", sent.id));
        }
        if call.class.as_deref() != Some(&class.name) {
            errors.push(format!("X-Queue {:?} for the class {}", call.class, class.name));
        }
        let limit_ms = sent.timeout_ms.unwrap_or(class.deadline.as_secs_f64() * 1000.0);
        let max_ms = call.max_ms.as_deref().and_then(|ms| ms.parse::<u64>().ok()).unwrap_or(0);
        if max_ms == 0 || max_ms as f64 > limit_ms {
            errors.push(format!("X-Max-Ms {:?} for a timeout of {limit_ms} ms", call.max_ms));
        }
        if call.statement.trim_ascii_start() != sent.statement {
            errors.push(format!("the statement {:?} for {:?}", call.statement, sent.statement));
        }
        if call.idempotency_key != sent.idempotency_key {
            errors.push(format!(
                "X-Nonce {:?} for the idempotency key {:?}",
                call.idempotency_key, sent.idempotency_key
            ));
        }
        if call.rank.as_ref().is_some_and(|rank| !["0", "1", "2", "3"].contains(&rank.as_str())) {
            errors.push(format!("Rank {:?}", call.rank));
        }
        if call.grant_mb.as_ref().is_some_and(|mb| mb.parse::<f64>().is_err()) {
            errors.push(format!("Grant-Mb {:?}", call.grant_mb));
        }
        errors
    }

    /// Checks that each request has a single answer, which is in time and correct.
    fn check_answers(&mut self) {
        for request in 0..self.spec.requests.len() {
            let is_answer = |event: &Event| matches!(event, Event::Answered(index, _) if *index == request);
            let answers: Vec<&Entry> = self.log.iter().filter(|entry| is_answer(&entry.event)).collect();
            let left = self.first_at(|event| matches!(event, Event::ClientLeft(index) if *index == request));
            let written = self.first_at(|event| matches!(event, Event::Written(index) if *index == request));
            let Some(written) = written else { continue };
            if answers.len() > 1 {
                self.report(Rule::SingleAnswer, request, format!("{} answers", answers.len()));
            }
            let Some(first) = answers.first() else {
                let disconnected =
                    |event: &Event| matches!(event, Event::ConnectionEnded(index) if *index == request);
                let detail = match self.first_at(disconnected) {
                    Some(at) => format!("its connection ended at {at:?} without a complete answer"),
                    None => "no answer was received".to_owned(),
                };
                if left.is_none() {
                    self.report(Rule::Answered, request, detail);
                }
                continue;
            };
            if left.is_none() {
                self.check_deadline(request, written, first.at);
            }
            let Event::Answered(_, answer) = &first.event else { continue };
            self.check_answer(request, first.at, answer);
        }
    }

    fn check_deadline(&mut self, request: RequestIndex, written: Duration, answered: Duration) {
        let sent = &self.spec.requests[request];
        let deadline = self.class(request).deadline;
        let timeout =
            sent.timeout_ms.map_or(deadline, |ms| Duration::from_secs_f64(ms / 1000.0).min(deadline));
        // A session runs one query at a time. The timeout of a pipelined query starts when the previous query ends.
        let previous =
            |event: &Event| matches!(event, Event::Answered(index, _) if Some(*index) == sent.follows);
        let from = self.first_at(previous).map_or(written, |ended| ended.max(written));
        let limit = from + timeout + self.spec.answer_slack + SOCKET_TOLERANCE + self.tolerance.delivery;
        if answered > limit {
            let took = answered.saturating_sub(from);
            self.report(
                Rule::Deadline,
                request,
                format!("answered after {took:?} with a timeout of {timeout:?}"),
            );
        }
    }

    fn check_answer(&mut self, request: RequestIndex, answered: Duration, answer: &Answer) {
        let produced = |entry: &Entry| match (&entry.event, answer) {
            (Event::Ending(_, index, Outcome::Rows(produced)), Answer::Rows(rows)) => {
                *index == request && produced == rows && entry.at <= answered
            }
            _ => false,
        };
        if matches!(answer, Answer::Rows(_)) && !self.log.iter().any(produced) {
            self.report(Rule::CorrectRows, request, format!("no engine produced {answer:?}"));
        }
        let may_have_run = |a: &Attempt| {
            let never = matches!(a.end, Some((_, End::NeverRan)));
            a.request == request && a.at <= answered && !never
        };
        let non_idempotent = self.class(request).retry_safety == RetrySafety::Unsafe;
        if non_idempotent && answer.invites_retry() && self.attempts.iter().any(may_have_run) {
            self.report(
                Rule::RetryInvitation,
                request,
                format!("{answer:?} invites a retry of a request that may have run"),
            );
        }
    }

    /// Checks the number of attempts of each request, and each attempt against the earlier ones.
    fn check_attempts(&mut self) {
        let mut by_request: BTreeMap<RequestIndex, Vec<usize>> = BTreeMap::new();
        for (n, attempt) in self.attempts.iter().enumerate() {
            by_request.entry(attempt.request).or_default().push(n);
        }
        for (request, attempts) in by_request {
            if self.spec.max_attempts > 0 && attempts.len() > self.spec.max_attempts {
                self.report(Rule::MaxAttempts, request, format!("{} attempts", attempts.len()));
            }
            for (n, later) in attempts.iter().enumerate() {
                for earlier in &attempts[..n] {
                    self.check_attempt_pair(request, *earlier, *later);
                }
            }
        }
    }

    fn check_attempt_pair(&mut self, request: RequestIndex, earlier: usize, later: usize) {
        let (earlier, later) = (&self.attempts[earlier], &self.attempts[later]);
        let in_flight_until = earlier.in_flight_until(self.tolerance);
        let mut found = Vec::new();
        if later.at < in_flight_until {
            let detail =
                format!("an attempt at {:?} while another was in flight until {in_flight_until:?}", later.at);
            found.push((Rule::OneAttemptInFlight, detail));
        }
        if earlier.may_have_run() {
            match self.class(request).retry_safety {
                RetrySafety::Safe => {}
                RetrySafety::Unsafe => {
                    let detail = format!("sent again at {:?} although it may have run", later.at);
                    found.push((Rule::AtMostOnce, detail));
                }
                RetrySafety::Keyed { group, window } => {
                    let (first, second) =
                        (&self.spec.engines[earlier.engine], &self.spec.engines[later.engine]);
                    let known = match group {
                        Group::All => true,
                        Group::Zone => first.zone == second.zone,
                        Group::Cell => first.cell == second.cell,
                    };
                    if !known || later.at > earlier.at + window + self.tolerance.timers {
                        let detail = format!(
                            "sent again to {} at {:?}, first to {} at {:?}",
                            second.name, later.at, first.name, earlier.at
                        );
                        found.push((Rule::RetryPlacement, detail));
                    }
                }
            }
        }
        for (rule, detail) in found {
            self.report(rule, request, detail);
        }
    }

    /// Checks the rules for requests with the same order key.
    fn check_order_keys(&mut self) {
        let mut queues: BTreeMap<(usize, &str), Vec<RequestIndex>> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for entry in self.log {
            let Event::Written(request) = entry.event else { continue };
            let sent = &self.spec.requests[request];
            let (true, Some(order_key)) = (self.class(request).ordered, &sent.order_key) else { continue };
            if seen.insert(request) {
                queues.entry((sent.class, order_key)).or_default().push(request);
            }
        }
        let mut found = Vec::new();
        for queue in queues.values() {
            let position = |request: RequestIndex| queue.iter().position(|r| *r == request);
            let attempts: Vec<&Attempt> =
                self.attempts.iter().filter(|a| position(a.request).is_some()).collect();
            for (n, later) in attempts.iter().enumerate() {
                for earlier in attempts[..n].iter().filter(|a| a.request != later.request) {
                    found.extend(self.check_key_pair(
                        earlier,
                        later,
                        position(earlier.request) > position(later.request),
                    ));
                }
            }
        }
        for (rule, request, detail) in found {
            self.report(rule, request, detail);
        }
    }

    fn check_key_pair(
        &self,
        earlier: &Attempt,
        later: &Attempt,
        out_of_order: bool,
    ) -> Option<(Rule, RequestIndex, String)> {
        debug_assert!(earlier.log_index < later.log_index);
        let request = later.request;
        let in_flight_until = earlier.in_flight_until(self.tolerance);
        let cooldown_end = earlier.cooldown_until(self.spec.key_cooldown, self.tolerance);
        let other = earlier.request;
        let at = later.at;
        if out_of_order {
            return Some((
                Rule::KeyOrder,
                request,
                format!("sent after request {other}, which was admitted later"),
            ));
        }
        if at < in_flight_until {
            let detail = format!(
                "sent at {at:?} while request {other} of its key was in flight until {in_flight_until:?}"
            );
            return Some((Rule::OneRequestPerKey, request, detail));
        }
        let detail =
            || format!("sent at {at:?} in the key's cooldown after request {other} until {cooldown_end:?}");
        (at < cooldown_end).then(|| (Rule::KeyCooldown, request, detail()))
    }

    /// Checks that no new attempt is sent to an engine that is draining or gone. As only its arrival is logged, the
    /// time of sending is bounded from below by the writing of the request, the end of the previous attempt, and the
    /// arrival minus the delivery tolerance.
    fn check_drains(&mut self) {
        let mut found = Vec::new();
        for (n, attempt) in self.attempts.iter().enumerate() {
            let announced = self.log.iter().find_map(|entry| match entry.event {
                Event::StateAnnounced(engine, state) if engine == attempt.engine => Some((entry.at, state)),
                _ => None,
            });
            let Some((announced_at, state)) = announced else { continue };
            let request = attempt.request;
            let writing = self.first_at(|event| matches!(event, Event::Writing(index) if *index == request));
            let previous = self.attempts[..n].iter().rev().find(|a| a.request == request);
            let previous_end = previous.and_then(|a| a.end).map_or(Duration::ZERO, |(at, _)| at);
            let sent_at = writing.unwrap_or(Duration::ZERO).max(previous_end);
            let sent_at = sent_at.max(attempt.at.saturating_sub(self.tolerance.delivery));
            if sent_at > announced_at + self.spec.drain_grace + self.tolerance.delivery {
                let detail = format!(
                    "sent after {sent_at:?} to engine {}, which was {state:?} at {announced_at:?}",
                    attempt.engine
                );
                found.push((request, detail));
            }
        }
        for (request, detail) in found {
            self.report(Rule::NoAttemptAfterDrain, request, detail);
        }
    }
}

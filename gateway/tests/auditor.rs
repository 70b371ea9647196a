//! Tests the auditor of `deployments.rs`. For each rule, there are logs that violate it and similar ones that do not.
#![allow(missing_docs)]

#[path = "deployments/auditor.rs"]
mod auditor;

use std::time::Duration;

use auditor::*;

const LEDGER: usize = 0; // Ordered and idempotent.
const LOAD: usize = 1; // Not idempotent.
const ZONED: usize = 2; // Idempotency keys are known within a zone.
const CELLED: usize = 3; // Idempotency keys are known within a cell.
const KEYED: usize = 4; // Idempotency keys are known at all engines.

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn spec() -> Spec {
    let class = |name: &str, retry_safety| Class {
        name: name.to_owned(),
        ordered: name == "ledger",
        retry_safety,
        deadline: ms(3000),
    };
    let keyed = |group| RetrySafety::Keyed { group, window: ms(1000) };
    let engine =
        |name: &str, zone: &str, cell| EngineInfo { name: name.to_owned(), zone: zone.to_owned(), cell };
    let requests =
        [(LEDGER, Some("a")), (LEDGER, Some("a")), (LEDGER, Some("b")), (LOAD, None), (ZONED, None)];
    let more = [(CELLED, None), (KEYED, None), (LEDGER, None), (LOAD, None)];
    Spec {
        classes: vec![
            class("ledger", RetrySafety::Safe),
            class("load", RetrySafety::Unsafe),
            class("zoned", keyed(Group::Zone)),
            class("celled", keyed(Group::Cell)),
            class("keyed", keyed(Group::All)),
        ],
        engines: vec![engine("e0", "east", 0), engine("e1", "west", 0), engine("e2", "east", 1)],
        requests: requests
            .iter()
            .chain(&more)
            .enumerate()
            .map(|(n, (class, key))| request(n, *class, *key))
            .collect(),
        may_cancel: true,
        may_probe: false,
        max_attempts: 2,
        key_cooldown: ms(300),
        drain_grace: ms(200),
        answer_slack: ms(20),
    }
}

fn request(n: usize, class: usize, key: Option<&str>) -> Request {
    Request {
        class,
        id: Some(format!("{n:016x}")),
        timeout_ms: Some(2000.5),
        order_key: key.map(str::to_owned),
        idempotency_key: (class >= ZONED).then(|| "9f3c".to_owned()),
        statement: format!("SELECT v FROM sales_1.orders WHERE tag = '#{n}'"),
        follows: None,
    }
}

/// The events of a client that writes a request.
fn written(request: RequestIndex) -> [Event; 2] {
    [Event::Writing(request), Event::Written(request)]
}

fn arrived(engine: EngineIndex, request: RequestIndex) -> Event {
    let spec = spec();
    let sent = &spec.requests[request];
    Event::Arrived(
        engine,
        Call {
            query_id: sent.id.clone(),
            class: Some(spec.classes[sent.class].name.clone()),
            max_ms: Some("1900".to_owned()),
            idempotency_key: sent.idempotency_key.clone(),
            rank: Some("1".to_owned()),
            grant_mb: None,
            statement: sent.statement.clone(),
        },
    )
}

fn changed(engine: EngineIndex, request: RequestIndex, change: impl Fn(&mut Call)) -> Event {
    let Event::Arrived(engine, mut call) = arrived(engine, request) else { unreachable!() };
    change(&mut call);
    Event::Arrived(engine, call)
}

fn rows() -> Vec<String> {
    vec!["a\tb\tc".to_owned()]
}

fn served(engine: EngineIndex, request: RequestIndex) -> Event {
    Event::Ending(engine, request, Outcome::Rows(rows()))
}

fn ending(engine: EngineIndex, request: RequestIndex, end: Outcome) -> Event {
    Event::Ending(engine, request, end)
}

fn answered(request: RequestIndex) -> Event {
    Event::Answered(request, Answer::Rows(rows()))
}

fn error(request: RequestIndex, code: &str) -> Event {
    Event::Answered(request, Answer::Error(code.to_owned()))
}

/// A log of events with their times in milliseconds.
fn log(events: &[(u64, Event)]) -> Vec<Entry> {
    assert!(events.is_sorted_by_key(|(at, _)| *at), "log entries must be sorted by time");
    events.iter().map(|(at, event)| Entry { at: ms(*at), event: event.clone() }).collect()
}

/// Violations in a log in which the requests are written 10 ms apart before the other events.
fn violations(
    spec: &Spec,
    requests: &[RequestIndex],
    events: &[(u64, Event)],
) -> Vec<(Rule, Option<RequestIndex>)> {
    let mut all = Vec::new();
    for (n, request) in requests.iter().enumerate() {
        all.extend(written(*request).map(|event| (10 * n as u64, event)));
    }
    all.extend(events.iter().cloned());
    let found = audit(spec, &log(&all), Tolerance::of(Duration::ZERO));
    assert!(found.iter().all(|violation| !violation.detail.is_empty()));
    found.into_iter().map(|violation| (violation.rule, violation.request)).collect()
}

fn assert_valid(requests: &[RequestIndex], events: &[(u64, Event)]) {
    assert_eq!(violations(&spec(), requests, events), [], "{events:#?}");
}

fn assert_violates(rule: Rule, request: RequestIndex, requests: &[RequestIndex], events: &[(u64, Event)]) {
    assert_eq!(violations(&spec(), requests, events), [(rule, Some(request))], "{events:#?}");
}

#[test]
fn every_request_is_answered() {
    assert_valid(&[3], &[(50, arrived(0, 3)), (90, served(0, 3)), (91, answered(3))]);
    assert_valid(&[3], &[(50, error(3, "53000"))]);
    assert_valid(&[3], &[(50, error(3, "42601"))]);
    assert_valid(&[3], &[(40, Event::ClientLeft(3)), (50, Event::ConnectionEnded(3))]);
    assert_violates(Rule::Answered, 3, &[3], &[(50, Event::ConnectionEnded(3))]);
    assert_violates(Rule::Answered, 3, &[3], &[(50, arrived(0, 3)), (90, served(0, 3))]);
}

#[test]
fn an_answer_arrives_before_its_deadline() {
    // The limit is the sum of 2,000.5 ms, the answer slack, the socket tolerance and the delivery tolerance.
    assert_valid(&[3], &[(2570, error(3, "58000"))]);
    assert_violates(Rule::Deadline, 3, &[3], &[(2572, error(3, "58000"))]);
    assert_valid(&[3], &[(30, Event::ClientLeft(3)), (2900, error(3, "57014"))]);
}

#[test]
fn the_timeout_of_a_pipelined_request_starts_when_the_previous_one_ends() {
    let mut spec = spec();
    spec.requests[8].follows = Some(3);
    let events = |late: u64| [(2000, error(3, "58000")), (late, error(8, "58000"))];
    assert_eq!(violations(&spec, &[3, 8], &events(4550)), []);
    assert_eq!(violations(&spec, &[3, 8], &events(4600)), [(Rule::Deadline, Some(8))]);
}

#[test]
fn a_timeout_longer_than_the_class_deadline_is_capped() {
    let mut spec = spec();
    spec.requests[3].timeout_ms = Some(9000.0);
    assert_eq!(violations(&spec, &[3], &[(3560, error(3, "58000"))]), []);
    assert_eq!(violations(&spec, &[3], &[(3580, error(3, "58000"))]), [(Rule::Deadline, Some(3))]);
}

#[test]
fn a_request_is_answered_once() {
    let events = [(50, arrived(0, 3)), (90, served(0, 3)), (91, answered(3)), (92, answered(3))];
    assert_valid(&[3], &events[..3]);
    assert_violates(Rule::SingleAnswer, 3, &[3], &events);
}

#[test]
fn an_answer_holds_the_rows_of_its_own_request() {
    let other = Event::Answered(3, Answer::Rows(vec!["a\tb\td".to_owned()]));
    assert_violates(Rule::CorrectRows, 3, &[3], &[(50, arrived(0, 3)), (90, served(0, 3)), (91, other)]);
    let truncated = Event::Answered(3, Answer::Rows(Vec::new()));
    assert_violates(Rule::CorrectRows, 3, &[3], &[(50, arrived(0, 3)), (90, served(0, 3)), (91, truncated)]);
    assert_violates(
        Rule::CorrectRows,
        3,
        &[3],
        &[(50, arrived(0, 3)), (90, answered(3)), (95, served(0, 3))],
    );
    // The rows belong to another request.
    let both = [(50, arrived(0, 3)), (60, served(0, 3)), (61, answered(3)), (70, answered(8))];
    assert_violates(Rule::CorrectRows, 8, &[3, 8], &both);
}

#[test]
fn requests_of_a_key_run_one_at_a_time() {
    let next = |at: u64| {
        [
            (50, arrived(0, 0)),
            (at, arrived(1, 1)),
            (300, served(0, 0)),
            (301, answered(0)),
            (302, error(1, "58000")),
        ]
    };
    assert_violates(Rule::OneRequestPerKey, 1, &[0, 1], &next(299));
    let after = [(50, arrived(0, 0)), (300, served(0, 0)), (300, arrived(1, 1)), (301, answered(0))];
    assert_valid(&[0, 1], &[&after[..], &[(302, error(1, "58000"))]].concat());
    // Requests with another key and without one are independent.
    for other in [2, 7] {
        let parallel =
            [(50, arrived(0, 0)), (60, arrived(1, other)), (300, served(0, 0)), (301, answered(0))];
        assert_valid(&[0, other], &[&parallel[..], &[(302, error(other, "58000"))]].concat());
    }
}

#[test]
fn a_key_stays_in_use_while_an_attempt_of_a_client_that_left_is_in_flight() {
    let left = |end: Event, at: u64| {
        [
            (50, arrived(0, 0)),
            (60, Event::ClientLeft(0)),
            (70, end),
            (at, arrived(0, 1)),
            (900, error(1, "58000")),
        ]
    };
    assert_violates(Rule::OneRequestPerKey, 1, &[0, 1], &left(Event::Polled(0, 0), 800));
    assert_valid(&[0, 1], &left(served(0, 0), 800));
}

#[test]
fn requests_of_a_key_run_in_order_of_arrival() {
    let overtaken = [(50, arrived(0, 1)), (90, served(0, 1)), (91, answered(1)), (95, arrived(0, 0))];
    let end = [(99, served(0, 0)), (100, answered(0))];
    assert_violates(Rule::KeyOrder, 0, &[0, 1], &[&overtaken[..], &end].concat());
    assert_valid(&[1, 0], &[&overtaken[..], &end].concat());
    // A request whose attempt was shed by an engine keeps its position.
    let shed = [(30, arrived(0, 0)), (31, ending(0, 0, Outcome::NeverRan))];
    assert_violates(Rule::KeyOrder, 0, &[0, 1], &[&shed[..], &overtaken, &end].concat());
    // A request that was answered with an error no longer blocks later ones.
    assert_valid(&[0, 1], &[&shed[..], &[(40, error(0, "53000"))], &overtaken[..3]].concat());
}

#[test]
fn a_key_has_a_cooldown_after_an_attempt_that_may_still_run() {
    for end in [Event::Cancelled(0, 0), Event::Crashing(0, 0)] {
        let with_cooldown = |at: u64| {
            [
                (50, arrived(0, 0)),
                (100, end.clone()),
                (110, error(0, "58000")),
                (at, arrived(1, 1)),
                (900, error(1, "58000")),
            ]
        };
        assert_valid(&[0, 1], &with_cooldown(400));
        assert_valid(&[0, 1], &with_cooldown(351));
        assert_violates(Rule::KeyCooldown, 1, &[0, 1], &with_cooldown(349));
    }
    // There is no cooldown after an attempt with a known outcome.
    for end in [ending(0, 0, Outcome::Error), ending(0, 0, Outcome::NeverRan)] {
        let next = [(50, arrived(0, 0)), (100, end), (110, error(0, "58000")), (111, arrived(1, 1))];
        assert_valid(&[0, 1], &[&next[..], &[(900, error(1, "58000"))]].concat());
    }
}

#[test]
fn a_silent_attempt_is_in_flight_until_two_seconds_without_a_poll() {
    let next = |at: u64| {
        let mut events = vec![(50, arrived(0, 0)), (600, Event::Polled(0, 0)), (1900, error(0, "58000"))];
        events.push((at, arrived(1, 1)));
        events.push((at + 1, Event::ClientLeft(1)));
        events
    };
    assert_violates(Rule::OneRequestPerKey, 1, &[0, 1], &next(2500));
    assert_valid(&[0, 1], &next(2600));
}

#[test]
fn a_request_has_at_most_one_attempt_in_flight() {
    let again = |end: Event, at: u64| {
        [(50, arrived(0, 7)), (at, end), (300, arrived(1, 7)), (400, served(1, 7)), (401, answered(7))]
    };
    for end in [served(0, 7), ending(0, 7, Outcome::Error), Event::Cancelled(0, 7), Event::Crashing(0, 7)] {
        assert_valid(&[7], &again(end, 300));
    }
    assert_violates(Rule::OneAttemptInFlight, 7, &[7], &again(Event::Polled(0, 7), 299));
    let late =
        [(50, arrived(0, 7)), (300, arrived(1, 7)), (301, Event::Cancelled(0, 7)), (401, error(7, "58000"))];
    assert_violates(Rule::OneAttemptInFlight, 7, &[7], &late);
    // The second attempt is sent to the same engine.
    let same =
        [(50, arrived(0, 7)), (300, arrived(0, 7)), (301, Event::Cancelled(0, 7)), (401, error(7, "58000"))];
    assert_violates(Rule::OneAttemptInFlight, 7, &[7], &same);
}

#[test]
fn a_request_has_at_most_the_allowed_number_of_attempts() {
    let attempt = |at: u64| [(at, arrived(0, 7)), (at + 1, ending(0, 7, Outcome::Error))];
    let answer = [(401, error(7, "58000"))];
    assert_valid(&[7], &[&attempt(50)[..], &attempt(60), &answer].concat());
    assert_violates(
        Rule::MaxAttempts,
        7,
        &[7],
        &[&attempt(50)[..], &attempt(60), &attempt(70), &answer].concat(),
    );
}

#[test]
fn a_request_that_is_not_idempotent_reaches_engines_once() {
    let again = |end: Event| {
        [(50, arrived(0, 3)), (100, end), (300, arrived(1, 3)), (400, served(1, 3)), (401, answered(3))]
    };
    assert_valid(&[3], &again(ending(0, 3, Outcome::NeverRan)));
    for end in [ending(0, 3, Outcome::Error), Event::Cancelled(0, 3), Event::Crashing(0, 3)] {
        assert_violates(Rule::AtMostOnce, 3, &[3], &again(end));
    }
}

#[test]
fn the_client_of_a_request_that_is_not_idempotent_is_not_invited_to_retry() {
    let failed = |end: Event, code: &str| [(50, arrived(0, 3)), (100, end), (110, error(3, code))];
    assert_valid(&[3], &failed(ending(0, 3, Outcome::NeverRan), "53000"));
    for end in
        [ending(0, 3, Outcome::Error), Event::Cancelled(0, 3), Event::Crashing(0, 3), Event::Polled(0, 3)]
    {
        assert_valid(&[3], &failed(end.clone(), "58000"));
        for code in ["53000", "53300", "57P03"] {
            assert_violates(Rule::RetryInvitation, 3, &[3], &failed(end.clone(), code));
        }
    }
    // The client of an idempotent request may be invited to retry.
    assert_valid(&[7], &[(50, arrived(0, 7)), (100, ending(0, 7, Outcome::Error)), (110, error(7, "53000"))]);
}

#[test]
fn retries_with_an_idempotency_key_go_where_it_is_known() {
    let again = |request: RequestIndex, engine: EngineIndex, at: u64| {
        let first = [(50, arrived(0, request)), (100, ending(0, request, Outcome::Error))];
        let second =
            [(at, arrived(engine, request)), (at + 1, served(engine, request)), (at + 2, answered(request))];
        [&first[..], &second].concat()
    };
    let (zoned, celled, keyed) = (4, 5, 6);
    for (request, engine) in [(zoned, 0), (zoned, 2), (celled, 0), (celled, 1), (keyed, 1), (keyed, 2)] {
        assert_valid(&[request], &again(request, engine, 300));
        assert_violates(Rule::RetryPlacement, request, &[request], &again(request, engine, 1110));
    }
    assert_violates(Rule::RetryPlacement, zoned, &[zoned], &again(zoned, 1, 300));
    assert_violates(Rule::RetryPlacement, celled, &[celled], &again(celled, 2, 300));
    // A shed attempt does not bind later attempts to its zone.
    let shed = [(20, arrived(1, zoned)), (30, ending(1, zoned, Outcome::NeverRan))];
    let end = [(300, arrived(0, zoned)), (301, served(0, zoned)), (302, answered(zoned))];
    assert_valid(&[zoned], &[&shed[..], &end].concat());
}

#[test]
fn nothing_new_is_forwarded_to_an_engine_that_drains() {
    for state in [State::Draining, State::Gone] {
        let sent = |at: u64| {
            let mut events =
                vec![(20, Event::StateAnnounced(0, state)), (at, Event::Writing(7)), (at, Event::Written(7))];
            events.extend([(at + 1, arrived(0, 7)), (at + 2, served(0, 7)), (at + 3, answered(7))]);
            events
        };
        assert_valid(&[], &sent(700));
        assert_violates(Rule::NoAttemptAfterDrain, 7, &[], &sent(740));
    }
    // A request written long before the attempt and an attempt at another engine are allowed.
    let long = [
        (20, Event::StateAnnounced(0, State::Gone)),
        (700, arrived(0, 7)),
        (701, served(0, 7)),
        (702, answered(7)),
    ];
    assert_valid(&[7], &long);
    let other = [
        (20, Event::StateAnnounced(0, State::Gone)),
        (1500, arrived(1, 7)),
        (1501, served(1, 7)),
        (1502, answered(7)),
    ];
    assert_valid(&[7], &other);
    // The second attempt was sent after the first one ended, long after the announcement.
    let again = [
        (30, Event::StateAnnounced(0, State::Gone)),
        (50, arrived(1, 7)),
        (1000, ending(1, 7, Outcome::Error)),
    ];
    let end = [(1001, arrived(0, 7)), (1002, served(0, 7)), (1003, answered(7))];
    assert_violates(Rule::NoAttemptAfterDrain, 7, &[7], &[&again[..], &end].concat());
}

#[test]
fn fields_reach_the_engine_unchanged() {
    let events_with =
        |change: &dyn Fn(&mut Call)| [(50, changed(0, 6, change)), (90, served(0, 6)), (91, answered(6))];
    assert_valid(&[6], &events_with(&|_| {}));
    assert_valid(&[6], &events_with(&|call| call.max_ms = Some("2000".to_owned())));
    assert_valid(&[6], &events_with(&|call| call.rank = None));
    assert_valid(&[6], &events_with(&|call| call.grant_mb = Some("96".to_owned())));
    let text = |text: &str| Some(text.to_owned());
    let corruptions: [&dyn Fn(&mut Call); 12] = [
        &|call| call.query_id = None,
        &|call| call.query_id = text("0000000000000007"),
        &|call| call.class = text("ledger"),
        &|call| call.class = None,
        &|call| call.max_ms = text("2001"),
        &|call| call.max_ms = text("0"),
        &|call| call.max_ms = None,
        &|call| call.idempotency_key = None,
        &|call| call.idempotency_key = text("9f3d"),
        &|call| call.statement += " ",
        &|call| call.statement.insert_str(0, "/* c=keyed */ "),
        &|call| call.rank = text("4"),
    ];
    for change in corruptions {
        assert_violates(Rule::UnchangedFields, 6, &[6], &events_with(change));
    }
    // An idempotency key that no client sent, and an invalid query id.
    assert_violates(
        Rule::UnchangedFields,
        7,
        &[7],
        &[(50, changed(0, 7, |call| call.idempotency_key = text("1"))), (60, Event::ClientLeft(7))],
    );
    let mut spec = spec();
    spec.requests[7].id = None;
    let with_id =
        |id: &str| [(50, changed(0, 7, |call| call.query_id = text(id))), (60, Event::ClientLeft(7))];
    assert_eq!(violations(&spec, &[7], &with_id("00000000000000ff")), []);
    assert_eq!(violations(&spec, &[7], &with_id("ff")), [(Rule::UnchangedFields, Some(7))]);
    // A statement that no client sent.
    let foreign = changed(0, 7, |call| call.statement = "SELECT 1".to_owned());
    assert_eq!(
        violations(&spec, &[7], &[(50, foreign), (60, Event::ClientLeft(7))]),
        [(Rule::UnchangedFields, None)]
    );
}

#[test]
fn nothing_is_cancelled_or_health_checked_where_that_is_not_allowed() {
    let cancelled = [(50, arrived(0, 7)), (100, Event::Cancelled(0, 7)), (110, error(7, "58000"))];
    assert_valid(&[7], &cancelled);
    let forbidding = Spec { may_cancel: false, ..spec() };
    assert_eq!(violations(&forbidding, &[7], &cancelled), [(Rule::NoForbiddenCancellation, Some(7))]);
    let probed = [(50, Event::HealthChecked(0))];
    assert_eq!(violations(&spec(), &[], &probed), [(Rule::NoForbiddenHealthCheck, None)]);
    assert_eq!(violations(&Spec { may_probe: true, ..spec() }, &[], &probed), []);
}

#[test]
fn the_timer_lag_of_the_machine_is_tolerated() {
    let second =
        [(50, arrived(0, 0)), (100, Event::Cancelled(0, 0)), (110, error(0, "58000")), (200, arrived(1, 1))];
    let events = [&second[..], &[(900, error(1, "58000"))]].concat();
    let mut all: Vec<(u64, Event)> =
        [0, 1].iter().flat_map(|n| written(*n)).map(|event| (0, event)).collect();
    all.extend(events);
    let found = |lag: u64| audit(&spec(), &log(&all), Tolerance::of(ms(lag))).len();
    assert_eq!((found(0), found(70), found(80)), (1, 1, 0));
}

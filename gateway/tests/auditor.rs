//! The auditor of `deployments.rs`, rule by rule: a log written by hand that breaks the rule, and the like that does
//! not.
#![allow(missing_docs)]

#[path = "deployments/auditor.rs"]
mod auditor;

use std::time::Duration;

use auditor::*;

const LEDGER: usize = 0; // Keeps order, safe.
const LOAD: usize = 1; // Once only.
const ZONED: usize = 2; // Repeats are known in a zone.
const CELLED: usize = 3; // In a cell.
const KEYED: usize = 4; // Everywhere.

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn terms() -> Terms {
    let class = |name: &str, effect| Class {
        name: name.to_owned(),
        ordered: name == "ledger",
        effect,
        deadline: ms(3000),
    };
    let keyed = |group| Effect::Keyed { group, window: ms(1000) };
    let engine =
        |name: &str, zone: &str, cell| EngineFacts { name: name.to_owned(), zone: zone.to_owned(), cell };
    let requests =
        [(LEDGER, Some("a")), (LEDGER, Some("a")), (LEDGER, Some("b")), (LOAD, None), (ZONED, None)];
    let more = [(CELLED, None), (KEYED, None), (LEDGER, None), (LOAD, None)];
    Terms {
        classes: vec![
            class("ledger", Effect::Safe),
            class("load", Effect::Unsafe),
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
        settle: ms(300),
        grace: ms(200),
        slack: ms(20),
    }
}

fn request(n: usize, class: usize, key: Option<&str>) -> Request {
    Request {
        class,
        id: Some(format!("{n:016x}")),
        wait_ms: Some(2000.5),
        key: key.map(str::to_owned),
        token: (class >= ZONED).then(|| "9f3c".to_owned()),
        statement: format!("SELECT v FROM sales_1.orders WHERE tag = '#{n}'"),
        behind: None,
    }
}

/// Written at once, and so on.
fn written(request: Serial) -> [Event; 2] {
    [Event::Writing(request), Event::Written(request)]
}

fn arrived(engine: EngineNo, serial: Serial) -> Event {
    let terms = terms();
    let asked = &terms.requests[serial];
    Event::Arrived(
        engine,
        Call {
            query_id: asked.id.clone(),
            class: Some(terms.classes[asked.class].name.clone()),
            max_ms: Some("1900".to_owned()),
            token: asked.token.clone(),
            rank: Some("1".to_owned()),
            grant_mb: None,
            statement: asked.statement.clone(),
        },
    )
}

fn changed(engine: EngineNo, serial: Serial, change: impl Fn(&mut Call)) -> Event {
    let Event::Arrived(engine, mut call) = arrived(engine, serial) else { unreachable!() };
    change(&mut call);
    Event::Arrived(engine, call)
}

fn rows() -> Vec<String> {
    vec!["a\tb\tc".to_owned()]
}

fn served(engine: EngineNo, request: Serial) -> Event {
    Event::Ending(engine, request, End::Rows(rows()))
}

fn ending(engine: EngineNo, request: Serial, end: End) -> Event {
    Event::Ending(engine, request, end)
}

fn answered(request: Serial) -> Event {
    Event::Answered(request, Answer::Rows(rows()))
}

fn error(request: Serial, code: &str) -> Event {
    Event::Answered(request, Answer::Error(code.to_owned()))
}

/// A log of events and their milliseconds.
fn log(events: &[(u64, Event)]) -> Vec<Entry> {
    assert!(events.is_sorted_by_key(|(at, _)| *at), "a log is in order");
    events.iter().map(|(at, event)| Entry { at: ms(*at), event: event.clone() }).collect()
}

/// The requests are written first, 10 ms apart; the rest follows.
fn told(terms: &Terms, requests: &[Serial], events: &[(u64, Event)]) -> Vec<(Rule, Option<Serial>)> {
    let mut all = Vec::new();
    for (n, request) in requests.iter().enumerate() {
        all.extend(written(*request).map(|event| (10 * n as u64, event)));
    }
    all.extend(events.iter().cloned());
    let breaches = audit(terms, &log(&all), Allowance::of(Duration::ZERO));
    assert!(breaches.iter().all(|breach| !breach.what.is_empty()));
    breaches.into_iter().map(|breach| (breach.rule, breach.request)).collect()
}

fn clean(requests: &[Serial], events: &[(u64, Event)]) {
    assert_eq!(told(&terms(), requests, events), [], "{events:#?}");
}

fn breaks(rule: Rule, request: Serial, requests: &[Serial], events: &[(u64, Event)]) {
    assert_eq!(told(&terms(), requests, events), [(rule, Some(request))], "{events:#?}");
}

#[test]
fn every_request_is_answered() {
    clean(&[3], &[(50, arrived(0, 3)), (90, served(0, 3)), (91, answered(3))]);
    clean(&[3], &[(50, error(3, "53000"))]);
    clean(&[3], &[(50, error(3, "42601"))]);
    clean(&[3], &[(40, Event::Left(3)), (50, Event::CutOff(3))]);
    breaks(Rule::Answer, 3, &[3], &[(50, Event::CutOff(3))]);
    breaks(Rule::Answer, 3, &[3], &[(50, arrived(0, 3)), (90, served(0, 3))]);
}

#[test]
fn an_answer_comes_in_time() {
    // 2,000.5 ms, the slack, 50 ms as on sockets, and what is allowed for.
    clean(&[3], &[(2570, error(3, "58000"))]);
    breaks(Rule::Time, 3, &[3], &[(2572, error(3, "58000"))]);
    clean(&[3], &[(30, Event::Left(3)), (2900, error(3, "57014"))]);
}

#[test]
fn a_pipelined_request_is_due_from_the_end_of_the_one_before() {
    let mut terms = terms();
    terms.requests[8].behind = Some(3);
    let events = |late: u64| [(2000, error(3, "58000")), (late, error(8, "58000"))];
    assert_eq!(told(&terms, &[3, 8], &events(4550)), []);
    assert_eq!(told(&terms, &[3, 8], &events(4600)), [(Rule::Time, Some(8))]);
}

#[test]
fn a_wait_longer_than_the_class_deadline_is_cut_to_it() {
    let mut terms = terms();
    terms.requests[3].wait_ms = Some(9000.0);
    assert_eq!(told(&terms, &[3], &[(3560, error(3, "58000"))]), []);
    assert_eq!(told(&terms, &[3], &[(3580, error(3, "58000"))]), [(Rule::Time, Some(3))]);
}

#[test]
fn a_request_is_answered_once() {
    let events = [(50, arrived(0, 3)), (90, served(0, 3)), (91, answered(3)), (92, answered(3))];
    clean(&[3], &events[..3]);
    breaks(Rule::OneAnswer, 3, &[3], &events);
}

#[test]
fn an_answer_holds_the_rows_of_its_own_request() {
    let other = Event::Answered(3, Answer::Rows(vec!["a\tb\td".to_owned()]));
    breaks(Rule::Result, 3, &[3], &[(50, arrived(0, 3)), (90, served(0, 3)), (91, other)]);
    let cut = Event::Answered(3, Answer::Rows(Vec::new()));
    breaks(Rule::Result, 3, &[3], &[(50, arrived(0, 3)), (90, served(0, 3)), (91, cut)]);
    breaks(Rule::Result, 3, &[3], &[(50, arrived(0, 3)), (90, answered(3)), (95, served(0, 3))]);
    // Another request's rows.
    let both = [(50, arrived(0, 3)), (60, served(0, 3)), (61, answered(3)), (70, answered(8))];
    breaks(Rule::Result, 8, &[3, 8], &both);
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
    breaks(Rule::OneOfKey, 1, &[0, 1], &next(299));
    let behind = [(50, arrived(0, 0)), (300, served(0, 0)), (300, arrived(1, 1)), (301, answered(0))];
    clean(&[0, 1], &[&behind[..], &[(302, error(1, "58000"))]].concat());
    // Another key, and none.
    for other in [2, 7] {
        let aside = [(50, arrived(0, 0)), (60, arrived(1, other)), (300, served(0, 0)), (301, answered(0))];
        clean(&[0, other], &[&aside[..], &[(302, error(other, "58000"))]].concat());
    }
}

#[test]
fn a_key_stays_in_use_while_an_attempt_of_a_client_that_left_is_in_flight() {
    let left = |end: Event, at: u64| {
        [(50, arrived(0, 0)), (60, Event::Left(0)), (70, end), (at, arrived(0, 1)), (900, error(1, "58000"))]
    };
    breaks(Rule::OneOfKey, 1, &[0, 1], &left(Event::Asked(0, 0), 800));
    clean(&[0, 1], &left(served(0, 0), 800));
}

#[test]
fn requests_of_a_key_run_in_order_of_arrival() {
    let passed = [(50, arrived(0, 1)), (90, served(0, 1)), (91, answered(1)), (95, arrived(0, 0))];
    let end = [(99, served(0, 0)), (100, answered(0))];
    breaks(Rule::Order, 0, &[0, 1], &[&passed[..], &end].concat());
    clean(&[1, 0], &[&passed[..], &end].concat());
    // One that was turned away by an engine is still ahead.
    let shed = [(30, arrived(0, 0)), (31, ending(0, 0, End::NeverRan))];
    breaks(Rule::Order, 0, &[0, 1], &[&shed[..], &passed, &end].concat());
    // One that is refused is not.
    clean(&[0, 1], &[&shed[..], &[(40, error(0, "53000"))], &passed[..3]].concat());
}

#[test]
fn a_key_has_a_cooldown_after_an_attempt_that_may_still_run() {
    for end in [Event::GivenUp(0, 0), Event::Dying(0, 0)] {
        let rested = |at: u64| {
            [
                (50, arrived(0, 0)),
                (100, end.clone()),
                (110, error(0, "58000")),
                (at, arrived(1, 1)),
                (900, error(1, "58000")),
            ]
        };
        clean(&[0, 1], &rested(400));
        clean(&[0, 1], &rested(351));
        breaks(Rule::Rest, 1, &[0, 1], &rested(349));
    }
    // None is due after an end.
    for end in [ending(0, 0, End::Error), ending(0, 0, End::NeverRan)] {
        let next = [(50, arrived(0, 0)), (100, end), (110, error(0, "58000")), (111, arrived(1, 1))];
        clean(&[0, 1], &[&next[..], &[(900, error(1, "58000"))]].concat());
    }
}

#[test]
fn a_silent_attempt_is_in_flight_until_two_seconds_without_a_call() {
    let next = |at: u64| {
        let mut events = vec![(50, arrived(0, 0)), (600, Event::Asked(0, 0)), (1900, error(0, "58000"))];
        events.push((at, arrived(1, 1)));
        events.push((at + 1, Event::Left(1)));
        events
    };
    breaks(Rule::OneOfKey, 1, &[0, 1], &next(2500));
    clean(&[0, 1], &next(2600));
}

#[test]
fn no_second_attempt_is_in_flight_beside_the_first() {
    let again = |end: Event, at: u64| {
        [(50, arrived(0, 7)), (at, end), (300, arrived(1, 7)), (400, served(1, 7)), (401, answered(7))]
    };
    for end in [served(0, 7), ending(0, 7, End::Error), Event::GivenUp(0, 7), Event::Dying(0, 7)] {
        clean(&[7], &again(end, 300));
    }
    breaks(Rule::OneAttempt, 7, &[7], &again(Event::Asked(0, 7), 299));
    let late =
        [(50, arrived(0, 7)), (300, arrived(1, 7)), (301, Event::GivenUp(0, 7)), (401, error(7, "58000"))];
    breaks(Rule::OneAttempt, 7, &[7], &late);
    // On the same engine.
    let same =
        [(50, arrived(0, 7)), (300, arrived(0, 7)), (301, Event::GivenUp(0, 7)), (401, error(7, "58000"))];
    breaks(Rule::OneAttempt, 7, &[7], &same);
}

#[test]
fn no_more_attempts_than_allowed() {
    let attempt = |at: u64| [(at, arrived(0, 7)), (at + 1, ending(0, 7, End::Error))];
    let answer = [(401, error(7, "58000"))];
    clean(&[7], &[&attempt(50)[..], &attempt(60), &answer].concat());
    breaks(Rule::Attempts, 7, &[7], &[&attempt(50)[..], &attempt(60), &attempt(70), &answer].concat());
}

#[test]
fn a_request_that_is_not_idempotent_reaches_engines_once() {
    let again = |end: Event| {
        [(50, arrived(0, 3)), (100, end), (300, arrived(1, 3)), (400, served(1, 3)), (401, answered(3))]
    };
    clean(&[3], &again(ending(0, 3, End::NeverRan)));
    for end in [ending(0, 3, End::Error), Event::GivenUp(0, 3), Event::Dying(0, 3)] {
        breaks(Rule::Once, 3, &[3], &again(end));
    }
}

#[test]
fn the_client_of_a_request_that_is_not_idempotent_is_not_invited_to_retry() {
    let ran = |end: Event, code: &str| [(50, arrived(0, 3)), (100, end), (110, error(3, code))];
    clean(&[3], &ran(ending(0, 3, End::NeverRan), "53000"));
    for end in [ending(0, 3, End::Error), Event::GivenUp(0, 3), Event::Dying(0, 3), Event::Asked(0, 3)] {
        clean(&[3], &ran(end.clone(), "58000"));
        for code in ["53000", "53300", "57P03"] {
            breaks(Rule::Invitation, 3, &[3], &ran(end.clone(), code));
        }
    }
    // Others may be repeated.
    clean(&[7], &[(50, arrived(0, 7)), (100, ending(0, 7, End::Error)), (110, error(7, "53000"))]);
}

#[test]
fn retries_with_an_idempotency_key_go_where_it_is_known() {
    let again = |request: Serial, engine: EngineNo, at: u64| {
        let first = [(50, arrived(0, request)), (100, ending(0, request, End::Error))];
        let second =
            [(at, arrived(engine, request)), (at + 1, served(engine, request)), (at + 2, answered(request))];
        [&first[..], &second].concat()
    };
    let (zoned, celled, keyed) = (4, 5, 6);
    for (request, engine) in [(zoned, 0), (zoned, 2), (celled, 0), (celled, 1), (keyed, 1), (keyed, 2)] {
        clean(&[request], &again(request, engine, 300));
        breaks(Rule::Repeat, request, &[request], &again(request, engine, 1110));
    }
    breaks(Rule::Repeat, zoned, &[zoned], &again(zoned, 1, 300));
    breaks(Rule::Repeat, celled, &[celled], &again(celled, 2, 300));
    // The first is the one that may have run.
    let shed = [(20, arrived(1, zoned)), (30, ending(1, zoned, End::NeverRan))];
    let end = [(300, arrived(0, zoned)), (301, served(0, zoned)), (302, answered(zoned))];
    clean(&[zoned], &[&shed[..], &end].concat());
}

#[test]
fn nothing_new_is_forwarded_to_an_engine_that_drains() {
    for state in [State::Draining, State::Gone] {
        let sent = |at: u64| {
            let mut events =
                vec![(20, Event::Told(0, state)), (at, Event::Writing(7)), (at, Event::Written(7))];
            events.extend([(at + 1, arrived(0, 7)), (at + 2, served(0, 7)), (at + 3, answered(7))]);
            events
        };
        clean(&[], &sent(700));
        breaks(Rule::Drain, 7, &[], &sent(740));
    }
    // One that was long written, and an engine beside it.
    let long =
        [(20, Event::Told(0, State::Gone)), (700, arrived(0, 7)), (701, served(0, 7)), (702, answered(7))];
    clean(&[7], &long);
    let other =
        [(20, Event::Told(0, State::Gone)), (1500, arrived(1, 7)), (1501, served(1, 7)), (1502, answered(7))];
    clean(&[7], &other);
    // It was sent no sooner than its first attempt had ended.
    let again = [(30, Event::Told(0, State::Gone)), (50, arrived(1, 7)), (1000, ending(1, 7, End::Error))];
    let end = [(1001, arrived(0, 7)), (1002, served(0, 7)), (1003, answered(7))];
    breaks(Rule::Drain, 7, &[7], &[&again[..], &end].concat());
}

#[test]
fn fields_reach_the_engine_unchanged() {
    let with =
        |change: &dyn Fn(&mut Call)| [(50, changed(0, 6, change)), (90, served(0, 6)), (91, answered(6))];
    clean(&[6], &with(&|_| {}));
    clean(&[6], &with(&|call| call.max_ms = Some("2000".to_owned())));
    clean(&[6], &with(&|call| call.rank = None));
    clean(&[6], &with(&|call| call.grant_mb = Some("96".to_owned())));
    let text = |text: &str| Some(text.to_owned());
    let wrong: [&dyn Fn(&mut Call); 12] = [
        &|call| call.query_id = None,
        &|call| call.query_id = text("0000000000000007"),
        &|call| call.class = text("ledger"),
        &|call| call.class = None,
        &|call| call.max_ms = text("2001"),
        &|call| call.max_ms = text("0"),
        &|call| call.max_ms = None,
        &|call| call.token = None,
        &|call| call.token = text("9f3d"),
        &|call| call.statement += " ",
        &|call| call.statement.insert_str(0, "/* c=keyed */ "),
        &|call| call.rank = text("4"),
    ];
    for change in wrong {
        breaks(Rule::Fields, 6, &[6], &with(change));
    }
    // A token of the gateway's own making, an id that is none.
    breaks(
        Rule::Fields,
        7,
        &[7],
        &[(50, changed(0, 7, |call| call.token = text("1"))), (60, Event::Left(7))],
    );
    let mut terms = terms();
    terms.requests[7].id = None;
    let own = |id: &str| [(50, changed(0, 7, |call| call.query_id = text(id))), (60, Event::Left(7))];
    assert_eq!(told(&terms, &[7], &own("00000000000000ff")), []);
    assert_eq!(told(&terms, &[7], &own("ff")), [(Rule::Fields, Some(7))]);
    // What no client sent.
    let made = changed(0, 7, |call| call.statement = "SELECT 1".to_owned());
    assert_eq!(told(&terms, &[7], &[(50, made), (60, Event::Left(7))]), [(Rule::Fields, None)]);
}

#[test]
fn nothing_is_cancelled_or_health_checked_where_that_is_not_allowed() {
    let given_up = [(50, arrived(0, 7)), (100, Event::GivenUp(0, 7)), (110, error(7, "58000"))];
    clean(&[7], &given_up);
    let strict = Terms { may_cancel: false, ..terms() };
    assert_eq!(told(&strict, &[7], &given_up), [(Rule::Cancel, Some(7))]);
    let probed = [(50, Event::Probed(0))];
    assert_eq!(told(&terms(), &[], &probed), [(Rule::Probe, None)]);
    assert_eq!(told(&Terms { may_probe: true, ..terms() }, &[], &probed), []);
}

#[test]
fn the_timer_lag_of_the_machine_is_allowed_for() {
    let rested =
        [(50, arrived(0, 0)), (100, Event::GivenUp(0, 0)), (110, error(0, "58000")), (200, arrived(1, 1))];
    let events = [&rested[..], &[(900, error(1, "58000"))]].concat();
    let mut all: Vec<(u64, Event)> =
        [0, 1].iter().flat_map(|n| written(*n)).map(|event| (0, event)).collect();
    all.extend(events);
    let found = |late: u64| audit(&terms(), &log(&all), Allowance::of(ms(late))).len();
    assert_eq!((found(0), found(70), found(80)), (1, 1, 0));
}

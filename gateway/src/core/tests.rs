//! The core on a fake clock: no sockets, no waiting.

use quickcheck::quickcheck;

use super::rules::CLIENT_DEADLINE_MARGIN_US;
use super::*;
use crate::config;
use crate::json::JsonField;

const LOOKUP: ClassId = ClassId(0);
const LOAD: ClassId = ClassId(2);
const SECOND: u64 = 1_000_000;

fn ended(attempt: AttemptId, outcome: Outcome) -> Input {
    Input::AttemptEnded { attempt, outcome, load_report: None }
}

fn entry(engine: u32, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        engine: EngineId(engine),
        zone: ZoneId(0),
        machine_type: MachineTypeId(0),
        cell: 0,
        state,
        started_at: None,
    }
}

/// A core with two ready engines, on the clock's first second.
struct Bench {
    core: Core,
    now_us: u64,
}

impl Bench {
    fn new() -> Self {
        Self::with(|text| text)
    }

    /// One whose class of loads keeps order.
    fn ordered() -> Self {
        Self::with(|text| {
            let text = text.replace("\"name\":\"load\",", "\"name\":\"load\",\"keep-order\":true,");
            text.replace("\"warm-up-s\"", "\"order-pause-s\":0.3,\"warm-up-s\"")
        })
    }

    fn with(change: impl Fn(String) -> String) -> Self {
        let text = change(include_str!("../../tests/common/config.json").replace("LIST", ""));
        let json = text.parse().unwrap();
        let settings = config::read(&JsonField::root(&json, "config")).unwrap().settings;
        let mut bench = Self { core: Core::new(settings, 7).unwrap(), now_us: SECOND };
        bench.list(&[entry(0, EndpointState::Ready), entry(1, EndpointState::Ready)]);
        bench
    }

    fn list(&mut self, entries: &[EndpointEntry]) {
        self.turn(vec![Input::EndpointList { mode: EndpointListMode::Delta, entries: entries.to_vec() }]);
    }

    fn turn(&mut self, mut inputs: Vec<Input>) -> Vec<Command> {
        let mut commands = Vec::new();
        self.core.turn(self.now_us, &mut inputs, &mut commands);
        commands
    }

    fn ask(&mut self, id: u64, class: ClassId, wait_us: u64) -> Vec<Command> {
        self.ask_in_order(id, class, wait_us, None)
    }

    fn ask_in_order(&mut self, id: u64, class: ClassId, wait_us: u64, key: Option<KeyId>) -> Vec<Command> {
        let deadline_us = self.now_us + wait_us;
        let request = NewRequest {
            class,
            tenant: None,
            deadline_us,
            estimated_work: Some(0.02),
            estimated_memory_mb: None,
            table_group: Some(TableGroupId(1)),
            key,
            is_retry: false,
        };
        self.turn(vec![Input::RequestArrived { id: RequestId(id), request }])
    }

    /// Lets time pass, alarm by alarm.
    fn pass(&mut self, span_us: u64) -> Vec<Command> {
        let end = self.now_us + span_us;
        let mut commands = Vec::new();
        while let Some(at) = self.core.next_timer_us().filter(|at| *at <= end) {
            self.now_us = self.now_us.max(at);
            commands.extend(self.turn(Vec::new()));
        }
        self.now_us = end;
        commands
    }
}

fn started(commands: &[Command]) -> Option<(AttemptId, EngineId)> {
    commands.iter().find_map(|c| match c {
        Command::StartAttempt { attempt, engine, .. } => Some((*attempt, *engine)),
        _ => None,
    })
}

/// The attempt that was started, which has to be the first of its request.
fn first_attempt(commands: &[Command]) -> AttemptId {
    let (attempt, _) = started(commands).expect("an attempt is started");
    assert_eq!(attempt.number, 0);
    attempt
}

fn answered(command: &Command) -> Option<RequestId> {
    match command {
        Command::Serve(attempt) => Some(attempt.request),
        Command::Reject { request, .. } | Command::Fail(request) => Some(*request),
        _ => None,
    }
}

#[test]
fn a_request_is_sent_and_served_once() {
    let mut b = Bench::new();
    let attempt = first_attempt(&b.ask(1, LOOKUP, 3 * SECOND));
    let end = ended(attempt, Outcome::Success);
    assert_eq!(b.turn(vec![end.clone()]), [Command::Serve(attempt)]);
    assert_eq!(b.turn(vec![end]), [], "an end that comes twice says nothing new");
    assert_eq!(b.pass(10 * SECOND).iter().find_map(answered), None);
    assert_eq!(b.core.open_requests(), 0);
}

#[test]
fn the_answer_comes_before_the_client_gives_up() {
    let mut b = Bench::new();
    let attempt = first_attempt(&b.ask(1, LOAD, 2 * SECOND));
    assert_eq!(b.pass(2 * SECOND - CLIENT_DEADLINE_MARGIN_US - 10_000), []);
    let commands = b.pass(CLIENT_DEADLINE_MARGIN_US / 2 + 10_000);
    // It may be running: a refusal would promise too much.
    assert_eq!(commands, [Command::Fail(attempt.request), Command::CancelAttempt(attempt)]);
}

#[test]
fn a_load_goes_on_only_where_it_provably_never_ran() {
    for (outcome, again) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::NeverSent, true),
        (Outcome::ConnectionLost, false),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Cancelled, false),
    ] {
        let mut b = Bench::new();
        let attempt = first_attempt(&b.ask(1, LOAD, 20 * SECOND));
        let commands = b.turn(vec![ended(attempt, outcome)]);
        if again {
            assert!(commands.iter().all(|c| *c != Command::Fail(attempt.request)), "{outcome:?}");
            assert!(started(&commands).or_else(|| started(&b.pass(SECOND))).is_some(), "{outcome:?}");
        } else {
            assert_eq!(commands, [Command::Fail(attempt.request)], "{outcome:?}");
        }
    }
}

/// Guards against the second copies of fleet-1: an engine fell silent, a retry met the attempt still out.
#[test]
fn an_attempt_that_may_run_on_unheard_is_never_followed_by_another() {
    for (class, answer) in [
        (LOOKUP, Command::Reject { request: RequestId(1), retry_after_ms: Some(50) }),
        (LOAD, Command::Fail(RequestId(1))),
    ] {
        let mut b = Bench::new();
        let attempt = first_attempt(&b.ask(1, class, 20 * SECOND));
        assert_eq!(b.turn(vec![Input::AttemptLost { attempt, runs_until_us: b.now_us }]), [answer]);
        assert_eq!(b.pass(30 * SECOND), [], "that was all");
    }
}

#[test]
fn requests_of_one_key_run_one_at_a_time() {
    let mut b = Bench::ordered();
    let key = Some(KeyId(5));
    let first = first_attempt(&b.ask_in_order(1, LOAD, 20 * SECOND, key));
    assert_eq!(started(&b.ask_in_order(2, LOAD, 20 * SECOND, key)), None, "the key is taken");
    assert!(started(&b.ask_in_order(3, LOAD, 20 * SECOND, Some(KeyId(6)))).is_some(), "another key is free");
    assert!(started(&b.ask(4, LOAD, 20 * SECOND)).is_some(), "as is who has none");
    let commands = b.turn(vec![ended(first, Outcome::Success)]);
    assert_eq!(started(&commands).map(|s| s.0.request), Some(RequestId(2)));
    let mut b = Bench::ordered();
    assert!(started(&b.ask_in_order(1, LOOKUP, SECOND, key)).is_some());
    assert!(started(&b.ask_in_order(2, LOOKUP, SECOND, key)).is_some(), "a class without order heeds no key");
}

#[test]
fn the_next_of_a_key_waits_till_a_lost_attempt_is_surely_over() {
    let mut b = Bench::ordered();
    let key = Some(KeyId(5));
    let first = first_attempt(&b.ask_in_order(1, LOAD, 20 * SECOND, key));
    b.ask_in_order(2, LOAD, 20 * SECOND, key);
    let runs_until_us = b.now_us + 2 * SECOND;
    assert_eq!(
        b.turn(vec![Input::AttemptLost { attempt: first, runs_until_us }]),
        [Command::Fail(first.request)]
    );
    assert_eq!(started(&b.pass(2 * SECOND + 290_000)), None, "it may run, and then the key rests");
    assert_eq!(started(&b.pass(100_000)).map(|s| s.0.request), Some(RequestId(2)));
}

#[test]
fn the_next_of_a_key_waits_till_the_end_of_a_lost_attempt_is_confirmed() {
    let mut b = Bench::ordered();
    let key = Some(KeyId(5));
    let first = first_attempt(&b.ask_in_order(1, LOAD, 20 * SECOND, key));
    b.ask_in_order(2, LOAD, 20 * SECOND, key);
    assert_eq!(
        b.turn(vec![Input::AttemptUnconfirmed(first)]),
        [Command::Fail(first.request)],
        "its client hears at once"
    );
    assert!(b.core.cooldown_after_exit_us(b.now_us, SECOND) > b.now_us, "a newer process must wait as well");
    assert_eq!(started(&b.pass(3 * SECOND)), None, "nothing bounds how long it runs");
    let runs_until_us = b.now_us + 200_000;
    b.turn(vec![Input::AttemptEndConfirmed { attempt: first, runs_until_us }]);
    assert_eq!(started(&b.pass(490_000)), None, "it may run, and then the key rests");
    assert_eq!(started(&b.pass(100_000)).map(|s| s.0.request), Some(RequestId(2)));
    assert_eq!(
        b.turn(vec![Input::AttemptEndConfirmed { attempt: first, runs_until_us: 0 }]),
        [],
        "a second word says nothing new"
    );
}

#[test]
fn nothing_is_sent_to_an_engine_that_drains_or_has_gone() {
    let mut b = Bench::new();
    b.list(&[entry(0, EndpointState::Draining), entry(1, EndpointState::Removed)]);
    let mut commands = b.ask(1, LOOKUP, 3 * SECOND);
    commands.extend(b.pass(4 * SECOND));
    assert_eq!(started(&commands), None);
    assert!(matches!(commands[..], [Command::Reject { request: RequestId(1), .. }]), "{commands:?}");
    b.list(&[entry(1, EndpointState::Ready)]);
    assert_eq!(started(&b.ask(2, LOOKUP, 3 * SECOND)).unwrap().1, EngineId(1));
}

#[test]
fn a_client_that_left_is_owed_nothing_but_its_attempt_is_stopped() {
    let mut b = Bench::new();
    let attempt = first_attempt(&b.ask(1, LOOKUP, 3 * SECOND));
    assert_eq!(b.turn(vec![Input::ClientLeft(attempt.request)]), [Command::CancelAttempt(attempt)]);
    let mut commands = b.turn(vec![ended(attempt, Outcome::Cancelled)]);
    commands.extend(b.pass(10 * SECOND));
    assert_eq!(commands, []);
}

quickcheck! {
    /// Whatever happens to attempts and engines: one final answer each, in time; one attempt at a time;
    /// no load after one that may have run; refused only where that is harmless.
    fn every_request_gets_one_answer_in_time(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut b = Bench::new();
        let mut deadlines = BTreeMap::new();
        let mut out: BTreeMap<RequestId, AttemptId> = BTreeMap::new();
        let mut tainted: Vec<RequestId> = Vec::new();
        let mut answers: BTreeMap<RequestId, u64> = BTreeMap::new();
        let (mut left, mut lost) = (Vec::new(), Vec::new());
        let mut next = 1;
        for (what, which, span) in steps.into_iter().chain([(9, 0, 0)]) {
            let pick = out.iter().nth(usize::from(which) % out.len().max(1)).map(|(_, attempt)| *attempt);
            let commands = match what % 10 {
                0..=2 => {
                    let class = if which % 2 == 0 { LOOKUP } else { LOAD };
                    let wait = 100_000 + u64::from(span) * 20;
                    deadlines.insert(RequestId(next), (class, b.now_us + wait));
                    next += 1;
                    b.ask(next - 1, class, wait)
                }
                3..=5 => match pick {
                    Some(attempt) if which % 8 == 7 => {
                        out.remove(&attempt.request);
                        tainted.push(attempt.request);
                        lost.push(attempt.request);
                        b.turn(vec![Input::AttemptLost { attempt, runs_until_us: b.now_us }])
                    }
                    Some(attempt) => {
                        let outcomes = [Outcome::Success, Outcome::Error, Outcome::Rejected,
                            Outcome::ConnectFailed, Outcome::ConnectionLost, Outcome::Cancelled, Outcome::NeverSent];
                        let outcome = outcomes[usize::from(span) % outcomes.len()];
                        out.remove(&attempt.request);
                        if matches!(outcome, Outcome::Error | Outcome::ConnectionLost | Outcome::Cancelled) {
                            tainted.push(attempt.request);
                        }
                        b.turn(vec![ended(attempt, outcome)])
                    }
                    None => Vec::new(),
                },
                6 => {
                    let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(which) % 3];
                    b.list(&[entry(u32::from(span) % 2, state)]);
                    Vec::new()
                }
                7 => match pick {
                    Some(AttemptId { request: id, .. }) => {
                        left.push(id);
                        b.turn(vec![Input::ClientLeft(id)])
                    }
                    None => Vec::new(),
                },
                8 => b.pass(u64::from(span) * 20),
                _ => b.pass(30 * SECOND),
            };
            for c in &commands {
                match c {
                    Command::StartAttempt { attempt, .. } => {
                        let request = &attempt.request;
                        let load = deadlines[request].0 == LOAD;
                        if out.insert(*request, *attempt).is_some() || (load && tainted.contains(request)) || lost.contains(request) {
                            return false;
                        }
                    }
                    Command::Reject { request: id, .. } => {
                        let ran = tainted.contains(id) || out.contains_key(id);
                        if deadlines[id].0 == LOAD && ran {
                            return false;
                        }
                    }
                    _ => {}
                }
                if let Some(id) = answered(c) {
                    if answers.insert(id, b.now_us).is_some() || left.contains(&id) && !matches!(c, Command::Serve(..)) {
                        return false;
                    }
                }
            }
        }
        // The last step let all deadlines pass. Within a long step the clock shows only its end, so the
        // time of an answer is checked by the turn after it: none may be open.
        b.core.open_requests() == 0 && deadlines.keys().all(|id| answers.contains_key(id) != left.contains(id)
            || left.contains(id))
    }
}

/// Once the gateway must end, nobody waits for an engine any more; only who may have run is failed.
#[test]
fn all_that_is_open_gets_its_answer_when_the_gateway_closes() {
    let mut b = Bench::new();
    let lookup = first_attempt(&b.ask(1, LOOKUP, 3 * SECOND));
    let load = first_attempt(&b.ask(2, LOAD, 20 * SECOND));
    b.list(&[entry(0, EndpointState::Draining), entry(1, EndpointState::Draining)]);
    assert_eq!(started(&b.ask(3, LOAD, 20 * SECOND)), None, "it is held");
    let commands = b.turn(vec![Input::ShuttingDown]);
    let answers: Vec<_> = commands.iter().filter(|c| answered(c).is_some()).collect();
    assert_eq!(answers.len(), 3, "{commands:?}");
    assert!(
        matches!(answers[0], Command::Reject { request, retry_after_ms: Some(_) } if *request == lookup.request)
    );
    assert!(matches!(answers[1], Command::Fail(request) if *request == load.request));
    assert!(matches!(answers[2], Command::Reject { request: RequestId(3), retry_after_ms: Some(_) }));
    for out in [lookup, load] {
        assert!(commands.contains(&Command::CancelAttempt(out)), "engines are told");
    }
    assert_eq!(b.turn(vec![Input::ShuttingDown, Input::ClientLeft(lookup.request)]), []);
    assert_eq!(b.core.open_requests(), 0);
}

/// An end and the client's, an end and the deadline, in one turn: one answer, and no attempt after it.
#[test]
fn ends_that_cross_in_one_turn_give_one_answer() {
    for outcome in [Outcome::Success, Outcome::ConnectionLost, Outcome::Rejected] {
        for left_first in [true, false] {
            let mut b = Bench::new();
            let attempt = first_attempt(&b.ask(1, LOOKUP, 3 * SECOND));
            let mut inputs = vec![ended(attempt, outcome), Input::ClientLeft(attempt.request)];
            if left_first {
                inputs.reverse();
            }
            let mut commands = b.turn(inputs);
            commands.extend(b.pass(10 * SECOND));
            let served = outcome == Outcome::Success && !left_first;
            let answers = commands.iter().filter(|c| answered(c).is_some()).count();
            assert_eq!(answers, usize::from(served), "{outcome:?}, {left_first}");
            // An attempt that was wanted before the client's end was read is taken back in the same turn.
            let again = started(&commands);
            assert!(
                again.is_none_or(|(attempt, _)| commands.contains(&Command::CancelAttempt(attempt))),
                "{commands:?}"
            );
        }
        let mut b = Bench::new();
        let attempt = first_attempt(&b.ask(1, LOOKUP, SECOND));
        b.now_us += SECOND;
        let mut commands = b.turn(vec![ended(attempt, outcome)]);
        commands.extend(b.pass(10 * SECOND));
        assert_eq!(
            commands.iter().filter(|c| answered(c).is_some()).count(),
            1,
            "{outcome:?} at the deadline"
        );
        assert_eq!(started(&commands), None);
    }
}

/// Guards the sleep of an idle gateway: once all is answered, neither the core nor the module wants to be woken.
#[test]
fn a_core_with_nothing_asked_wants_no_turn() {
    let mut bench = Bench::new();
    assert_eq!(bench.core.next_timer_us(), None, "engines alone need no look");
    let attempt = first_attempt(&bench.ask(1, LOOKUP, 3 * SECOND));
    assert!(bench.core.timers() >= 2, "its deadline, and the module's look");
    bench.turn(vec![ended(attempt, Outcome::Success)]);
    bench.pass(100_000);
    assert_eq!((bench.core.timers(), bench.core.next_timer_us()), (0, None));
    assert!(started(&bench.ask(2, LOOKUP, 3 * SECOND)).is_some());
    assert!(bench.core.next_timer_us().is_some_and(|at| at <= bench.now_us + 50_000), "it looks again");
}

/// Settings of the bench, ordered, with the class of loads followed by a changed one with the next number.
fn with_changed_loads(to: impl Fn(&mut Class)) -> SettingsChange {
    let mut settings = ordered_settings();
    let mut origins = vec![ClassOrigin::Unchanged; settings.classes.len()];
    let mut class = settings.classes[LOAD.0].clone();
    to(&mut class);
    settings.classes.push(class);
    origins[LOAD.0] = ClassOrigin::Retired;
    origins.push(ClassOrigin::DerivedFrom(LOAD));
    SettingsChange { settings, origins }
}

fn ordered_settings() -> Settings {
    let text = include_str!("../../tests/common/config.json").replace("LIST", "");
    let text = text.replace("\"name\":\"load\",", "\"name\":\"load\",\"keep-order\":true,");
    let text = text.replace("\"warm-up-s\"", "\"order-pause-s\":0.3,\"warm-up-s\"");
    config::read(&JsonField::root(&text.parse().unwrap(), "config")).unwrap().settings
}

const CHANGED_LOAD: ClassId = ClassId(3);

#[test]
fn keys_keep_their_leases_and_their_order_when_the_class_orders_no_longer() {
    let mut b = Bench::ordered();
    let first = first_attempt(&b.ask_in_order(1, LOAD, 20 * SECOND, Some(KeyId(9))));
    assert_eq!(started(&b.ask_in_order(2, LOAD, 20 * SECOND, Some(KeyId(9)))), None);
    b.core.reconfigure(with_changed_loads(|class| class.ordered_by_key = false)).unwrap();
    assert_eq!(started(&b.pass(SECOND)), None, "the second waits for the first");
    let third = b.ask_in_order(3, CHANGED_LOAD, 20 * SECOND, Some(KeyId(9)));
    assert_eq!(started(&third).unwrap().0.request, RequestId(3), "a new one takes no turn");
    let commands = b.turn(vec![ended(first, Outcome::Success)]);
    assert_eq!(started(&commands).unwrap().0.request, RequestId(2));
}

#[test]
fn a_request_that_is_out_keeps_its_effect_when_its_class_gets_another() {
    let mut b = Bench::ordered();
    let attempt = first_attempt(&b.ask(1, LOAD, 20 * SECOND));
    b.core.reconfigure(with_changed_loads(|class| class.idempotency = Idempotency::Idempotent)).unwrap();
    let commands = b.turn(vec![ended(attempt, Outcome::ConnectionLost)]);
    assert_eq!(commands, [Command::Fail(attempt.request)], "no second attempt, and no promise");
    let attempt = first_attempt(&b.ask(2, CHANGED_LOAD, 20 * SECOND));
    let commands = b.turn(vec![ended(attempt, Outcome::ConnectionLost)]);
    assert!(started(&commands).is_some(), "a new one may be repeated");
}

#[test]
fn limits_of_the_site_hold_for_all_at_once() {
    let mut b = Bench::new();
    let mut settings = ordered_settings();
    settings.capabilities.max_attempts = 1;
    settings.capabilities.retry_after = false;
    settings.rules.key_cooldown = 7.0;
    let origins = vec![ClassOrigin::Unchanged; settings.classes.len()];
    let attempt = first_attempt(&b.ask(1, LOOKUP, 3 * SECOND));
    b.core.reconfigure(SettingsChange { settings, origins }).unwrap();
    assert_eq!(b.core.key_cooldown_end_us(SECOND), 8 * SECOND);
    let commands = b.turn(vec![ended(attempt, Outcome::ConnectionLost)]);
    assert_eq!(
        commands,
        [Command::Reject { request: attempt.request, retry_after_ms: None }],
        "one attempt, and no advice"
    );
}

#[test]
fn a_class_is_in_use_until_its_last_attempt_has_ended() {
    let mut b = Bench::new();
    assert!(b.core.classes_in_use().is_empty());
    let attempt = first_attempt(&b.ask(1, LOAD, 20 * SECOND));
    b.turn(vec![Input::ClientLeft(attempt.request)]);
    assert_eq!(b.core.open_requests(), 0);
    assert!(b.core.classes_in_use().contains(&LOAD), "its engine runs it on");
    b.turn(vec![ended(attempt, Outcome::Cancelled)]);
    assert!(b.core.classes_in_use().is_empty());
}

#[test]
fn settings_that_are_refused_change_nothing_in_the_core() {
    let mut b = Bench::ordered();
    let mut bad = with_changed_loads(|class| class.deadline = -1.0);
    bad.settings.rules.key_cooldown = 7.0;
    assert!(b.core.reconfigure(bad).is_err());
    assert_eq!(b.core.key_cooldown_end_us(0), 300_000);
}

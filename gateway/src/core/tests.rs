//! Tests of the core on a simulated clock.

use quickcheck::quickcheck;
use workload_manager::*;

use super::rules::CLIENT_DEADLINE_MARGIN_US;
use super::*;
use crate::config;
use crate::json::JsonField;

const CONFIG: &str = include_str!("../../tests/common/config.json");
const LOOKUP: ClassId = ClassId(0);
const LOAD: ClassId = ClassId(2);
const SECOND_US: u64 = 1_000_000;

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

fn settings(text: &str) -> Settings {
    let json = text.replace("LIST", "").parse().unwrap();
    config::read(&JsonField::root(&json, "config")).unwrap().settings
}

/// Settings whose class of loads is ordered by key.
fn ordered_settings() -> Settings {
    let text = CONFIG.replace("\"name\":\"load\",", "\"name\":\"load\",\"keep-order\":true,");
    settings(&text.replace("\"warm-up-s\"", "\"order-pause-s\":0.3,\"warm-up-s\""))
}

/// A core with two ready engines. The clock starts at one second.
struct Fixture {
    core: Core,
    now_us: u64,
}

impl Fixture {
    fn new() -> Self {
        Self::with(settings(CONFIG))
    }

    /// A fixture whose class of loads is ordered by key.
    fn ordered() -> Self {
        Self::with(ordered_settings())
    }

    fn with(settings: Settings) -> Self {
        let mut fixture = Self { core: Core::new(settings, 7).unwrap(), now_us: SECOND_US };
        fixture.update_endpoints(&[entry(0, EndpointState::Ready), entry(1, EndpointState::Ready)]);
        fixture
    }

    fn update_endpoints(&mut self, entries: &[EndpointEntry]) {
        self.turn(vec![Input::EndpointList { mode: EndpointListMode::Delta, entries: entries.to_vec() }]);
    }

    fn turn(&mut self, mut inputs: Vec<Input>) -> Vec<Command> {
        let mut commands = Vec::new();
        self.core.turn(self.now_us, &mut inputs, &mut commands);
        commands
    }

    fn request(&mut self, id: u64, class: ClassId, wait_us: u64) -> Vec<Command> {
        self.request_with_key(id, class, wait_us, None)
    }

    fn request_with_key(
        &mut self,
        id: u64,
        class: ClassId,
        wait_us: u64,
        key: Option<KeyId>,
    ) -> Vec<Command> {
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

    /// Advances the clock and fires each timer at its time.
    fn advance(&mut self, span_us: u64) -> Vec<Command> {
        let end_us = self.now_us + span_us;
        let mut commands = Vec::new();
        while let Some(at_us) = self.core.next_timer_us().filter(|at_us| *at_us <= end_us) {
            self.now_us = self.now_us.max(at_us);
            commands.extend(self.turn(Vec::new()));
        }
        self.now_us = end_us;
        commands
    }
}

fn started(commands: &[Command]) -> Option<(AttemptId, EngineId)> {
    commands.iter().find_map(|c| match c {
        Command::StartAttempt { attempt, engine, .. } => Some((*attempt, *engine)),
        _ => None,
    })
}

/// Returns the started attempt and asserts that it is the first of its request.
fn first_attempt(commands: &[Command]) -> AttemptId {
    let (attempt, _) = started(commands).expect("no attempt was started");
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
fn a_request_is_forwarded_and_served_once() {
    let mut fixture = Fixture::new();
    let attempt = first_attempt(&fixture.request(1, LOOKUP, 3 * SECOND_US));
    let end = ended(attempt, Outcome::Success);
    assert_eq!(fixture.turn(vec![end.clone()]), [Command::Serve(attempt)]);
    assert_eq!(fixture.turn(vec![end]), [], "a duplicate end is ignored");
    assert_eq!(fixture.advance(10 * SECOND_US).iter().find_map(answered), None);
    assert_eq!(fixture.core.open_request_count(), 0);
}

#[test]
fn the_final_answer_comes_before_the_client_deadline() {
    let mut fixture = Fixture::new();
    let attempt = first_attempt(&fixture.request(1, LOAD, 2 * SECOND_US));
    assert_eq!(fixture.advance(2 * SECOND_US - CLIENT_DEADLINE_MARGIN_US - 10_000), []);
    let commands = fixture.advance(CLIENT_DEADLINE_MARGIN_US / 2 + 10_000);
    // The attempt may be running, so a retry by the client is not known to be safe.
    assert_eq!(commands, [Command::Fail(attempt.request), Command::CancelAttempt(attempt)]);
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_if_it_never_ran() {
    for (outcome, is_retried) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::NeverSent, true),
        (Outcome::ConnectionLost, false),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Cancelled, false),
    ] {
        let mut fixture = Fixture::new();
        let attempt = first_attempt(&fixture.request(1, LOAD, 20 * SECOND_US));
        let commands = fixture.turn(vec![ended(attempt, outcome)]);
        if is_retried {
            assert!(commands.iter().all(|c| *c != Command::Fail(attempt.request)), "{outcome:?}");
            assert!(
                started(&commands).or_else(|| started(&fixture.advance(SECOND_US))).is_some(),
                "{outcome:?}"
            );
        } else {
            assert_eq!(commands, [Command::Fail(attempt.request)], "{outcome:?}");
        }
    }
}

/// Guards against a retry while an unresponsive engine still runs the first attempt.
#[test]
fn a_lost_attempt_is_never_followed_by_another() {
    for (class, answer) in [
        (LOOKUP, Command::Reject { request: RequestId(1), retry_after_ms: Some(50) }),
        (LOAD, Command::Fail(RequestId(1))),
    ] {
        let mut fixture = Fixture::new();
        let attempt = first_attempt(&fixture.request(1, class, 20 * SECOND_US));
        assert_eq!(
            fixture.turn(vec![Input::AttemptLost { attempt, may_run_until_us: fixture.now_us }]),
            [answer]
        );
        assert_eq!(fixture.advance(30 * SECOND_US), [], "no command follows the answer");
    }
}

#[test]
fn requests_of_one_key_run_one_at_a_time() {
    let mut fixture = Fixture::ordered();
    let key = Some(KeyId(5));
    let first = first_attempt(&fixture.request_with_key(1, LOAD, 20 * SECOND_US, key));
    assert_eq!(started(&fixture.request_with_key(2, LOAD, 20 * SECOND_US, key)), None, "the key is in use");
    assert!(
        started(&fixture.request_with_key(3, LOAD, 20 * SECOND_US, Some(KeyId(6)))).is_some(),
        "a request of another key is started"
    );
    assert!(
        started(&fixture.request(4, LOAD, 20 * SECOND_US)).is_some(),
        "a request without a key is not ordered"
    );
    let commands = fixture.turn(vec![ended(first, Outcome::Success)]);
    assert_eq!(started(&commands).map(|s| s.0.request), Some(RequestId(2)));
    let mut fixture = Fixture::ordered();
    assert!(started(&fixture.request_with_key(1, LOOKUP, SECOND_US, key)).is_some());
    assert!(
        started(&fixture.request_with_key(2, LOOKUP, SECOND_US, key)).is_some(),
        "a class that is not ordered ignores keys"
    );
}

#[test]
fn the_next_request_of_a_key_waits_for_the_end_and_cooldown_of_a_lost_attempt() {
    let mut fixture = Fixture::ordered();
    let key = Some(KeyId(5));
    let first = first_attempt(&fixture.request_with_key(1, LOAD, 20 * SECOND_US, key));
    fixture.request_with_key(2, LOAD, 20 * SECOND_US, key);
    let may_run_until_us = fixture.now_us + 2 * SECOND_US;
    assert_eq!(
        fixture.turn(vec![Input::AttemptLost { attempt: first, may_run_until_us }]),
        [Command::Fail(first.request)]
    );
    assert_eq!(
        started(&fixture.advance(2 * SECOND_US + 290_000)),
        None,
        "the attempt may run, and the key cooldown follows"
    );
    assert_eq!(started(&fixture.advance(100_000)).map(|s| s.0.request), Some(RequestId(2)));
}

#[test]
fn the_next_request_of_a_key_waits_until_the_end_of_a_lost_attempt_is_confirmed() {
    let mut fixture = Fixture::ordered();
    let key = Some(KeyId(5));
    let first = first_attempt(&fixture.request_with_key(1, LOAD, 20 * SECOND_US, key));
    fixture.request_with_key(2, LOAD, 20 * SECOND_US, key);
    assert_eq!(
        fixture.turn(vec![Input::AttemptUnconfirmed(first)]),
        [Command::Fail(first.request)],
        "the client is answered immediately"
    );
    assert!(
        fixture.core.exit_cooldown_end_us(fixture.now_us, SECOND_US) > fixture.now_us,
        "a successor must wait as well"
    );
    assert_eq!(started(&fixture.advance(3 * SECOND_US)), None, "the attempt may run for an unknown time");
    let may_run_until_us = fixture.now_us + 200_000;
    fixture.turn(vec![Input::AttemptEndConfirmed { attempt: first, may_run_until_us }]);
    assert_eq!(started(&fixture.advance(490_000)), None, "the attempt may run, and the key cooldown follows");
    assert_eq!(started(&fixture.advance(100_000)).map(|s| s.0.request), Some(RequestId(2)));
    assert_eq!(
        fixture.turn(vec![Input::AttemptEndConfirmed { attempt: first, may_run_until_us: 0 }]),
        [],
        "a duplicate confirmation is ignored"
    );
}

#[test]
fn nothing_is_forwarded_to_a_draining_or_removed_engine() {
    let mut fixture = Fixture::new();
    fixture.update_endpoints(&[entry(0, EndpointState::Draining), entry(1, EndpointState::Removed)]);
    let mut commands = fixture.request(1, LOOKUP, 3 * SECOND_US);
    commands.extend(fixture.advance(4 * SECOND_US));
    assert_eq!(started(&commands), None);
    assert!(matches!(commands[..], [Command::Reject { request: RequestId(1), .. }]), "{commands:?}");
    fixture.update_endpoints(&[entry(1, EndpointState::Ready)]);
    assert_eq!(started(&fixture.request(2, LOOKUP, 3 * SECOND_US)).unwrap().1, EngineId(1));
}

#[test]
fn a_client_that_left_gets_no_answer_and_its_attempt_is_cancelled() {
    let mut fixture = Fixture::new();
    let attempt = first_attempt(&fixture.request(1, LOOKUP, 3 * SECOND_US));
    assert_eq!(fixture.turn(vec![Input::ClientLeft(attempt.request)]), [Command::CancelAttempt(attempt)]);
    let mut commands = fixture.turn(vec![ended(attempt, Outcome::Cancelled)]);
    commands.extend(fixture.advance(10 * SECOND_US));
    assert_eq!(commands, []);
}

quickcheck! {
    /// Random events of attempts, engines and clients. Each request has at most one attempt in flight and gets one
    /// final answer in time. A load that may have run is neither retried nor rejected.
    fn every_request_gets_one_answer_in_time(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut fixture = Fixture::new();
        let mut deadlines = BTreeMap::new();
        let mut in_flight: BTreeMap<RequestId, AttemptId> = BTreeMap::new();
        let mut may_have_run: Vec<RequestId> = Vec::new();
        let mut answers: BTreeMap<RequestId, u64> = BTreeMap::new();
        let (mut left, mut lost) = (Vec::new(), Vec::new());
        let mut next = 1;
        for (action, choice, span) in steps.into_iter().chain([(9, 0, 0)]) {
            let pick = in_flight.iter().nth(usize::from(choice) % in_flight.len().max(1)).map(|(_, attempt)| *attempt);
            let commands = match action % 10 {
                0..=2 => {
                    let class = if choice % 2 == 0 { LOOKUP } else { LOAD };
                    let wait = 100_000 + u64::from(span) * 20;
                    deadlines.insert(RequestId(next), (class, fixture.now_us + wait));
                    next += 1;
                    fixture.request(next - 1, class, wait)
                }
                3..=5 => match pick {
                    Some(attempt) if choice % 8 == 7 => {
                        in_flight.remove(&attempt.request);
                        may_have_run.push(attempt.request);
                        lost.push(attempt.request);
                        fixture.turn(vec![Input::AttemptLost { attempt, may_run_until_us: fixture.now_us }])
                    }
                    Some(attempt) => {
                        let outcomes = [Outcome::Success, Outcome::Error, Outcome::Rejected,
                            Outcome::ConnectFailed, Outcome::ConnectionLost, Outcome::Cancelled, Outcome::NeverSent];
                        let outcome = outcomes[usize::from(span) % outcomes.len()];
                        in_flight.remove(&attempt.request);
                        if matches!(outcome, Outcome::Error | Outcome::ConnectionLost | Outcome::Cancelled) {
                            may_have_run.push(attempt.request);
                        }
                        fixture.turn(vec![ended(attempt, outcome)])
                    }
                    None => Vec::new(),
                },
                6 => {
                    let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(choice) % 3];
                    fixture.update_endpoints(&[entry(u32::from(span) % 2, state)]);
                    Vec::new()
                }
                7 => match pick {
                    Some(AttemptId { request: id, .. }) => {
                        left.push(id);
                        fixture.turn(vec![Input::ClientLeft(id)])
                    }
                    None => Vec::new(),
                },
                8 => fixture.advance(u64::from(span) * 20),
                _ => fixture.advance(30 * SECOND_US),
            };
            for c in &commands {
                match c {
                    Command::StartAttempt { attempt, .. } => {
                        let request = &attempt.request;
                        let is_load = deadlines[request].0 == LOAD;
                        if in_flight.insert(*request, *attempt).is_some() || (is_load && may_have_run.contains(request)) || lost.contains(request) {
                            return false;
                        }
                    }
                    Command::Reject { request: id, .. } => {
                        let may_take_effect = may_have_run.contains(id) || in_flight.contains_key(id);
                        if deadlines[id].0 == LOAD && may_take_effect {
                            return false;
                        }
                    }
                    _ => {}
                }
                if let Some(id) = answered(c) {
                    if answers.insert(id, fixture.now_us).is_some() || left.contains(&id) && !matches!(c, Command::Serve(..)) {
                        return false;
                    }
                }
            }
        }
        // All deadlines have passed after the last step, so no request may be open. Within a long step the clock shows
        // only its end, so that an answer that is late shows as a request that is still open.
        fixture.core.open_request_count() == 0 && deadlines.keys().all(|id| answers.contains_key(id) != left.contains(id)
            || left.contains(id))
    }
}

/// Guards against requests that stay open at shutdown. A request fails only if it may have run.
#[test]
fn open_requests_get_their_final_answers_at_shutdown() {
    let mut fixture = Fixture::new();
    let lookup = first_attempt(&fixture.request(1, LOOKUP, 3 * SECOND_US));
    let load = first_attempt(&fixture.request(2, LOAD, 20 * SECOND_US));
    fixture.update_endpoints(&[entry(0, EndpointState::Draining), entry(1, EndpointState::Draining)]);
    assert_eq!(started(&fixture.request(3, LOAD, 20 * SECOND_US)), None, "the request is queued");
    let commands = fixture.turn(vec![Input::ShuttingDown]);
    let answers: Vec<_> = commands.iter().filter(|c| answered(c).is_some()).collect();
    assert_eq!(answers.len(), 3, "{commands:?}");
    assert!(
        matches!(answers[0], Command::Reject { request, retry_after_ms: Some(_) } if *request == lookup.request)
    );
    assert!(matches!(answers[1], Command::Fail(request) if *request == load.request));
    assert!(matches!(answers[2], Command::Reject { request: RequestId(3), retry_after_ms: Some(_) }));
    for attempt in [lookup, load] {
        assert!(commands.contains(&Command::CancelAttempt(attempt)), "attempts are cancelled");
    }
    assert_eq!(fixture.turn(vec![Input::ShuttingDown, Input::ClientLeft(lookup.request)]), []);
    assert_eq!(fixture.core.open_request_count(), 0);
}

/// Guards against a second answer when an attempt ends in the same turn as its client leaves or its deadline passes.
#[test]
fn ends_in_the_same_turn_give_one_answer() {
    for outcome in [Outcome::Success, Outcome::ConnectionLost, Outcome::Rejected] {
        for left_first in [true, false] {
            let mut fixture = Fixture::new();
            let attempt = first_attempt(&fixture.request(1, LOOKUP, 3 * SECOND_US));
            let mut inputs = vec![ended(attempt, outcome), Input::ClientLeft(attempt.request)];
            if left_first {
                inputs.reverse();
            }
            let mut commands = fixture.turn(inputs);
            commands.extend(fixture.advance(10 * SECOND_US));
            let is_served = outcome == Outcome::Success && !left_first;
            let answers = commands.iter().filter(|c| answered(c).is_some()).count();
            assert_eq!(answers, usize::from(is_served), "{outcome:?}, {left_first}");
            // An attempt that was started before the client left is cancelled in the same turn.
            let retry = started(&commands);
            assert!(
                retry.is_none_or(|(attempt, _)| commands.contains(&Command::CancelAttempt(attempt))),
                "{commands:?}"
            );
        }
        let mut fixture = Fixture::new();
        let attempt = first_attempt(&fixture.request(1, LOOKUP, SECOND_US));
        fixture.now_us += SECOND_US;
        let mut commands = fixture.turn(vec![ended(attempt, outcome)]);
        commands.extend(fixture.advance(10 * SECOND_US));
        assert_eq!(
            commands.iter().filter(|c| answered(c).is_some()).count(),
            1,
            "{outcome:?} at the deadline"
        );
        assert_eq!(started(&commands), None);
    }
}

/// Guards against timers that wake an idle gateway.
#[test]
fn an_idle_core_arms_no_timer() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.core.next_timer_us(), None, "engines alone need no control tick");
    let attempt = first_attempt(&fixture.request(1, LOOKUP, 3 * SECOND_US));
    assert!(fixture.core.timer_count() >= 2, "the deadline of the request, and the control tick");
    fixture.turn(vec![ended(attempt, Outcome::Success)]);
    fixture.advance(100_000);
    assert_eq!((fixture.core.timer_count(), fixture.core.next_timer_us()), (0, None));
    assert!(started(&fixture.request(2, LOOKUP, 3 * SECOND_US)).is_some());
    assert!(
        fixture.core.next_timer_us().is_some_and(|at| at <= fixture.now_us + 50_000),
        "the control tick runs again"
    );
}

/// The settings of [`Fixture::ordered`] with the class of loads retired and a changed class derived from it.
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

const CHANGED_LOAD: ClassId = ClassId(3);

#[test]
fn keys_keep_their_order_when_their_class_is_no_longer_ordered_by_key() {
    let mut fixture = Fixture::ordered();
    let first = first_attempt(&fixture.request_with_key(1, LOAD, 20 * SECOND_US, Some(KeyId(9))));
    assert_eq!(started(&fixture.request_with_key(2, LOAD, 20 * SECOND_US, Some(KeyId(9)))), None);
    fixture.core.reconfigure(with_changed_loads(|class| class.ordered_by_key = false)).unwrap();
    assert_eq!(started(&fixture.advance(SECOND_US)), None, "the second waits for the first");
    let third = fixture.request_with_key(3, CHANGED_LOAD, 20 * SECOND_US, Some(KeyId(9)));
    assert_eq!(started(&third).unwrap().0.request, RequestId(3), "a new request is not ordered");
    let commands = fixture.turn(vec![ended(first, Outcome::Success)]);
    assert_eq!(started(&commands).unwrap().0.request, RequestId(2));
}

#[test]
fn a_request_keeps_its_idempotency_when_its_class_changes() {
    let mut fixture = Fixture::ordered();
    let attempt = first_attempt(&fixture.request(1, LOAD, 20 * SECOND_US));
    fixture
        .core
        .reconfigure(with_changed_loads(|class| class.idempotency = Idempotency::Idempotent))
        .unwrap();
    let commands = fixture.turn(vec![ended(attempt, Outcome::ConnectionLost)]);
    assert_eq!(commands, [Command::Fail(attempt.request)], "no retry, and no rejection");
    let attempt = first_attempt(&fixture.request(2, CHANGED_LOAD, 20 * SECOND_US));
    let commands = fixture.turn(vec![ended(attempt, Outcome::ConnectionLost)]);
    assert!(started(&commands).is_some(), "a new request is retried");
}

#[test]
fn changed_rules_and_capabilities_apply_to_open_requests() {
    let mut fixture = Fixture::new();
    let mut settings = ordered_settings();
    settings.capabilities.max_attempts = 1;
    settings.capabilities.retry_after = false;
    settings.rules.key_cooldown = 7.0;
    let origins = vec![ClassOrigin::Unchanged; settings.classes.len()];
    let attempt = first_attempt(&fixture.request(1, LOOKUP, 3 * SECOND_US));
    fixture.core.reconfigure(SettingsChange { settings, origins }).unwrap();
    assert_eq!(fixture.core.key_cooldown_end_us(SECOND_US), 8 * SECOND_US);
    let commands = fixture.turn(vec![ended(attempt, Outcome::ConnectionLost)]);
    assert_eq!(
        commands,
        [Command::Reject { request: attempt.request, retry_after_ms: None }],
        "only one attempt, and no Retry-After"
    );
}

#[test]
fn a_class_is_in_use_until_its_last_attempt_has_ended() {
    let mut fixture = Fixture::new();
    assert!(fixture.core.classes_in_use().is_empty());
    let attempt = first_attempt(&fixture.request(1, LOAD, 20 * SECOND_US));
    fixture.turn(vec![Input::ClientLeft(attempt.request)]);
    assert_eq!(fixture.core.open_request_count(), 0);
    assert!(fixture.core.classes_in_use().contains(&LOAD), "the attempt is still in flight");
    fixture.turn(vec![ended(attempt, Outcome::Cancelled)]);
    assert!(fixture.core.classes_in_use().is_empty());
}

#[test]
fn rejected_settings_change_nothing_in_the_core() {
    let mut fixture = Fixture::ordered();
    let mut bad = with_changed_loads(|class| class.deadline = -1.0);
    bad.settings.rules.key_cooldown = 7.0;
    assert!(fixture.core.reconfigure(bad).is_err());
    assert_eq!(fixture.core.key_cooldown_end_us(0), 300_000);
}

//! Runs the built adapter on batches of events and checks its replies, and its exit status and error line for
//! invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    // The adapter may exit before it has read all input.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().unwrap()
}

fn replies(lines: &[Value]) -> Vec<Vec<Value>> {
    let lines: Vec<String> = lines.iter().map(Value::to_string).collect();
    let output = run_adapter(&lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    let steps = |l: &str| serde_json::from_str::<Value>(l).unwrap()["steps"].as_array().unwrap().clone();
    let replies: Vec<_> = text.lines().map(steps).collect();
    assert_eq!(replies.len(), lines.len(), "one reply per batch");
    replies
}

fn hello(who: &str) -> Value {
    json!({"hello": {"who": who, "salt": 9, "env": {
        "an-unknown-key": {"x": 1},
        "allowed": {"cancelling": false, "max-attempts": 4, "retry-after": true, "max-retry-after-s": 0.5},
        "balancers": 1,
        "classes": [
            {"name": "look", "aim-s": 1.0, "deadline-s": 4.0, "repeat": "pure"},
            {"name": "load", "aim-s": 3.0, "deadline-s": 20.0, "repeat": "side_effect", "keep-order": true}],
        "domain": {"kind-cores": [8], "parallelism": [1, 2], "holds-tables": [false, true]},
        "kinds": ["k"], "zones": ["z"], "locality": "z", "resolution-s": 0.005,
        "rules": {"answer-slack-s": 0.02, "cold-share": 0.3, "warm-up-s": 10.0, "fall-multiple": 2.0,
                  "overload-for-s": 2.0, "order-pause-s": 0.3}}}})
}

fn roster(slot: u32, engines: &[(&str, u32)]) -> Value {
    let elements: Vec<Value> = engines
        .iter()
        .map(|(e, state)| json!({"engine": e, "failure-domain": "z", "generation-hw": "k", "state": state}))
        .collect();
    json!({"roster": {"slot": slot, "elements": elements}})
}

fn change(who: &str, mode: u32, slot: u32) -> Value {
    json!({"roster-change": {"who": who, "mode": mode, "stamp": 1, "slot": slot}})
}

fn item(who: &str, job: u64, band: &str) -> Value {
    json!({"work-item": {"who": who, "job": job, "band": band, "valid-until-s": 14.0, "news": null}})
}

fn batch(now: f64, events: Vec<Value>) -> Value {
    json!({"now-s": now, "in": events})
}

fn routes(steps: &[Value]) -> Vec<(String, u64, String)> {
    let route = |s: &Value| {
        let r = s.get("route")?;
        Some((r["who"].as_str()?.to_owned(), r["job"].as_u64()?, r["engine"].as_str()?.to_owned()))
    };
    steps.iter().filter_map(route).collect()
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let output = run_adapter(&[r#"{"now-s":8.41225,"in":[]}"#.to_owned()]);
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "{\"steps\":[]}\n");
}

#[test]
fn a_request_waits_for_the_outcome_of_an_earlier_one_with_the_same_key() {
    let mut second = item("r/0", 2, "load");
    second["work-item"]["relation"] = json!("t");
    let mut first = item("r/0", 1, "load");
    first["work-item"]["relation"] = json!("t");
    let all = replies(&[
        batch(10.0, vec![hello("r/0"), roster(0, &[("a:1", 1)]), change("r/0", 2, 0)]),
        batch(10.1, vec![first, second]),
        batch(
            10.9,
            vec![
                json!({"report-back": {"who": "r/0", "job": 1, "attempt": 0, "engine": "a:1", "how": "success",
                "rtt-s": 0.8, "settled": true, "used-up": 69728, "feedback": {"queue": 0, "odd": 1}}}),
            ],
        ),
    ]);
    assert_eq!(routes(&all[1]), vec![("r/0".to_owned(), 1, "a:1".to_owned())]);
    assert_eq!(routes(&all[2]), vec![("r/0".to_owned(), 2, "a:1".to_owned())]);
}

#[test]
fn a_reused_slot_refers_to_its_latest_list() {
    let all = replies(&[batch(
        10.0,
        vec![
            hello("r/0"),
            roster(0, &[("a:1", 1)]),
            change("r/0", 1, 0),
            item("r/0", 1, "look"),
            roster(0, &[("b:1", 1)]),
            change("r/0", 1, 0),
            item("r/0", 2, "look"),
        ],
    )]);
    let to: Vec<_> = routes(&all[0]).into_iter().map(|r| r.2).collect();
    assert_eq!(to, ["a:1", "b:1"]);
}

#[test]
fn an_instance_stopped_and_started_in_the_same_batch_has_no_requests() {
    let all = replies(&[
        batch(10.0, vec![hello("r/0"), roster(0, &[]), change("r/0", 2, 0), item("r/0", 1, "look")]),
        batch(
            11.0,
            vec![
                json!({"stop": {"who": "r/0"}}),
                hello("r/0"),
                roster(1, &[("a:1", 1)]),
                change("r/0", 2, 1),
            ],
        ),
    ]);
    assert!(routes(&all[1]).is_empty(), "requests of the stopped instance are discarded");
}

#[test]
fn events_without_an_open_request_cause_no_actions() {
    let all = replies(&[
        batch(
            10.0,
            vec![hello("r/0"), roster(0, &[("a:1", 1)]), change("r/0", 2, 0), item("r/0", 1, "look")],
        ),
        batch(
            10.1,
            vec![json!({"aborted": {"who": "r/0", "job": 1}}), json!({"aborted": {"who": "r/0", "job": 1}})],
        ),
        batch(
            10.2,
            vec![
                json!({"report-back": {"who": "r/0", "job": 1, "engine": "a:1", "how": "void", "settled": true}}),
                json!({"bell": {"who": "r/0", "nonce": 2}}),
                json!({"bell": {"who": "r/0", "nonce": 77}}),
                json!({"memo": {"who": "r/0", "src-peer": 1, "payload": ""}}),
            ],
        ),
    ]);
    assert!(all[1].is_empty() && all[2].is_empty(), "{all:?}");
}

#[test]
fn instances_are_independent() {
    let alone = |who: &str| {
        let all = replies(&[batch(
            10.0,
            vec![hello(who), roster(0, &[("a:1", 1), ("b:1", 1)]), change(who, 2, 0), item(who, 1, "look")],
        )]);
        routes(&all[0])
    };
    let both = replies(&[batch(
        10.0,
        vec![
            hello("r/0"),
            hello("r/1"),
            roster(0, &[("a:1", 1), ("b:1", 1)]),
            change("r/0", 2, 0),
            change("r/1", 2, 0),
            item("r/0", 1, "look"),
            item("r/1", 1, "look"),
        ],
    )]);
    assert_eq!(routes(&both[0]), [alone("r/0"), alone("r/1")].concat());
}

#[test]
fn invalid_input_ends_the_adapter_with_one_error_line() {
    let start = batch(10.0, vec![hello("r/0")]).to_string();
    let no_classes =
        batch(10.0, vec![json!({"hello": {"who": "r/0", "salt": 1, "env": {"classes": []}}})]).to_string();
    for (line, expected) in [
        ("{".to_owned(), "not a batch of events"),
        (r#"{"now-s":1,"in":[{"surprise":{}}]}"#.to_owned(), "unknown variant `surprise`"),
        (batch(11.0, vec![item("r/9", 1, "look")]).to_string(), "no gateway r/9 has been started"),
        (batch(11.0, vec![item("r/0", 1, "odd")]).to_string(), "unknown class odd"),
        (batch(11.0, vec![change("r/0", 2, 5)]).to_string(), "unknown roster slot 5"),
        (no_classes, "settings name no class"),
    ] {
        let output = run_adapter(&[start.clone(), line]);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains("line 2: ") && stderr.contains(expected), "{stderr}");
        assert_eq!(String::from_utf8(output.stdout).unwrap().lines().count(), 1, "no further replies");
    }
}

#[test]
fn load_reports_of_health_checks_are_accepted_but_no_check_is_requested() {
    let mut start = hello("r/0");
    start["hello"]["env"]["report"] = json!({"how": "probe", "names": ["inflight"]});
    start["hello"]["env"]["allowed"]["probing"] = json!(true);
    let all = replies(&[
        batch(10.0, vec![start, roster(0, &[("a:1", 1)]), change("r/0", 2, 0)]),
        batch(10.1, vec![item("r/0", 1, "load")]),
        batch(
            10.2,
            vec![json!({"check-result": {"who": "r/0", "engine": "a:1", "how": "success", "rtt-s": 0.01,
                "feedback": {"inflight": 1}}})],
        ),
    ]);
    assert!(!all.iter().flatten().any(|step| step.get("touch").is_some()), "{all:?}");
    assert_eq!(routes(&all[1]), vec![("r/0".to_owned(), 1, "a:1".to_owned())], "no health check is awaited");
    assert!(routes(&all[2]).is_empty());
}

//! Runs a generated deployment: the gateway process between scripted peers, until every request is settled.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::auditor::{Class, Group, RequestIndex, RetrySafety, State, Violation, audit};
use crate::client::Session;
use crate::common::Gateway;
use crate::discovery::DiscoveryService;
use crate::engine::{self, Endpoint};
use crate::generator::{ClientAction, ClientScript, ConnectionKind, Deployment, LoadReports, Step};
use crate::harness::{Harness, lock};

/// Time limit for all requests of a deployment to be settled, longer than any of them may take.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Wait for duplicate answers and late attempts after the last request is settled.
const LATE_EVENT_WAIT: Duration = Duration::from_millis(300);
/// Pause between two requests of an order key if the first is pipelined after a start-up message.
const STARTUP_PAUSE: Duration = Duration::from_millis(250);

/// Runs the deployment of a seed and returns the violations found in its log.
pub fn run(seed: u64) -> Vec<Violation> {
    let deployment = Deployment::generate(seed);
    let harness = Harness::new(deployment.behaviors.clone(), deployment.reports);
    let endpoints: Vec<Endpoint> = (deployment.refusing.iter().enumerate())
        .map(|(n, refusing)| if *refusing { engine::reserve() } else { engine::start(n, &harness) }.unwrap())
        .collect();
    let discovery = DiscoveryService::listen().unwrap();
    let config = config(&deployment, &endpoints, discovery.address);
    let gateway = Gateway::with_endpoints("", None, "", None, |_| config.clone());
    let change = deployment.change;
    let entry = entry(&deployment, change.engine, &endpoints, state_name(change.state));
    discovery.serve(&harness, change, entry);
    let driver = Arc::new(Driver { deployment, harness: harness.clone(), gateway: Mutex::new(gateway) });
    let scripts: Vec<_> = (driver.deployment.scripts.iter().cloned())
        .map(|script| {
            let driver = driver.clone();
            thread::spawn(move || driver.run_script(&script))
        })
        .collect();
    let sessions: Vec<_> = scripts.into_iter().map(|script| script.join().unwrap()).collect();
    driver.wait_settled();
    harness.finish();
    drop(sessions);
    let violations = audit(&driver.deployment.spec, &harness.entries(), harness.tolerance());
    driver.write_logs(seed, &violations);
    violations
}

struct Driver {
    deployment: Deployment,
    harness: Arc<Harness>,
    gateway: Mutex<Gateway>,
}

impl Driver {
    fn address(&self) -> SocketAddr {
        lock(&self.gateway).pg
    }

    fn log(&self) -> String {
        lock(&self.gateway).log()
    }

    /// Runs the steps of a script. Returns its sessions, which must stay open until the run is finished.
    fn run_script(&self, script: &ClientScript) -> Vec<Arc<Mutex<Session>>> {
        let mut sessions: Vec<Arc<Mutex<Session>>> = Vec::new();
        for step in &script.steps {
            thread::sleep(Duration::from_millis(step.pause_ms));
            let session = self.write(step, sessions.last().cloned());
            self.apply_action(step, &session);
            sessions.push(session);
            if script.ordered {
                self.wait_admitted(step);
            }
        }
        sessions
    }

    fn write(&self, step: &Step, previous: Option<Arc<Mutex<Session>>>) -> Arc<Mutex<Session>> {
        let text = |request: &RequestIndex| (*request, self.deployment.queries[*request].as_str());
        let queries: Vec<(RequestIndex, &str)> = step.requests.iter().map(text).collect();
        let open = |queries| Session::open(self.address(), &self.harness, queries).unwrap();
        match (step.connection, previous) {
            (ConnectionKind::WithStartup, _) => Arc::new(Mutex::new(open(&queries))),
            (ConnectionKind::Reused, Some(session)) => {
                while !lock(&session).is_answered() {
                    thread::sleep(Duration::from_millis(1));
                }
                let mut writer = lock(&session);
                // A session that its client has left, or that has ended, cannot be reused.
                if writer.is_ended() {
                    drop(writer);
                    return self.write(&Step { connection: ConnectionKind::New, ..step.clone() }, None);
                }
                writer.write(&queries);
                drop(writer);
                session
            }
            (ConnectionKind::New | ConnectionKind::Reused, _) => {
                let mut session = open(&[]);
                session.wait_ready();
                session.write(&queries);
                Arc::new(Mutex::new(session))
            }
        }
    }

    fn apply_action(&self, step: &Step, session: &Arc<Mutex<Session>>) {
        let (address, session, request) = (self.address(), session.clone(), step.requests[0]);
        match step.action {
            ClientAction::Wait => {}
            ClientAction::Leave(after_ms) => drop(thread::spawn(move || {
                thread::sleep(Duration::from_millis(after_ms));
                lock(&session).disconnect_during(request);
            })),
            ClientAction::Cancel(after_ms) => drop(thread::spawn(move || {
                thread::sleep(Duration::from_millis(after_ms));
                let _ = lock(&session).cancel(address, request);
            })),
        }
    }

    /// Waits until a request is admitted or settled, so that requests written later are admitted later.
    fn wait_admitted(&self, step: &Step) {
        let request = step.requests[0];
        let id = self.deployment.spec.requests[request].id.as_deref().unwrap_or_default();
        let admitted = format!("request admitted query_id=\"{id}\"");
        let began = Instant::now();
        while !self.log().contains(&admitted)
            && !self.harness.is_settled(request)
            && began.elapsed() < SETTLE_TIMEOUT
        {
            thread::sleep(Duration::from_millis(5));
        }
        if step.connection == ConnectionKind::WithStartup {
            thread::sleep(STARTUP_PAUSE);
        }
    }

    fn wait_settled(&self) {
        let began = Instant::now();
        let requests = self.deployment.spec.requests.len();
        while !(0..requests).all(|request| self.harness.is_settled(request))
            && began.elapsed() < SETTLE_TIMEOUT
        {
            thread::sleep(Duration::from_millis(10));
        }
        while !self.harness.is_idle() && began.elapsed() < SETTLE_TIMEOUT {
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(LATE_EVENT_WAIT);
    }

    /// Writes the event log and the gateway's log to the folder in the environment variable `DEPLOYMENT_LOGS`, if set.
    fn write_logs(&self, seed: u64, violations: &[Violation]) {
        let Ok(folder) = std::env::var("DEPLOYMENT_LOGS") else { return };
        let mut text = format!("{:#?}\n", self.deployment);
        for entry in self.harness.entries() {
            text += &format!("{:?} {:?}\n", entry.at, entry.event);
        }
        for violation in violations {
            text += &format!("{violation:?}\n");
        }
        std::fs::write(format!("{folder}/{seed}.seen"), text).unwrap();
        std::fs::write(format!("{folder}/{seed}.log"), self.log()).unwrap();
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Draining => "Terminating",
        State::Gone => "Gone",
    }
}

/// An engine's entry in the endpoint list.
fn entry(deployment: &Deployment, engine: usize, endpoints: &[Endpoint], status: &str) -> String {
    let (info, address) = (&deployment.spec.engines[engine], endpoints[engine].address);
    let (name, zone, cell) = (&info.name, &info.zone, info.cell);
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"std\",\"group\":{cell},\"status\":\"{status}\",\"weight\":1,\"since_ms\":0}}"
    )
}

fn class(class: &Class) -> String {
    let repeat = match class.retry_safety {
        RetrySafety::Safe => "\"repeat\":\"pure\"".to_owned(),
        RetrySafety::Unsafe => "\"repeat\":\"side_effect\"".to_owned(),
        RetrySafety::Keyed { group, window } => {
            let group = match group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            format!("\"repeat\":\"token\",\"group\":\"{group}\",\"window-s\":{}", window.as_secs_f64())
        }
    };
    format!(
        "{{\"name\":\"{}\",\"aim-s\":1.5,\"deadline-s\":{},\"worth\":1.0,\"late-value\":0.1,\"keep-order\":{},{repeat}}}",
        class.name,
        class.deadline.as_secs_f64(),
        class.ordered
    )
}

/// The gateway's configuration file.
fn config(deployment: &Deployment, endpoints: &[Endpoint], coordinator: SocketAddr) -> String {
    let spec = &deployment.spec;
    let list: Vec<String> = (0..endpoints.len()).map(|n| entry(deployment, n, endpoints, "Ready")).collect();
    let classes: Vec<String> = spec.classes.iter().map(class).collect();
    let per_class = |value: &str| vec![value; spec.classes.len()].join(",");
    let how = match deployment.reports {
        LoadReports::None => "none",
        LoadReports::Answers => "answers",
        LoadReports::Probes => "probe",
    };
    let (locality, zones) = if deployment.zoned { ("east", "\"east\",\"west\"") } else { ("", "") };
    format!(
        r#"{{"name":"t","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","coordinator":"{coordinator}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
 "known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"index":1,"snapshot":true,"endpoints":[{list}]}}}}]}},
 "settings":{{
  "allowed":{{"cancelling":{may_cancel},"connect-timeout-s":0.25,"keepalive-s":15.0,"max-attempts":{max_attempts},
   "max-open":20000,"max-retry-after-s":0.5,"may-duplicate":false,"peers":false,"probing":{may_probe},
   "retry-after":{retry_after}}},
  "balancers":1,"classes":[{classes}],"discovery":"push",
  "domain":{{"grants-count":true,"holds-tables":[{no}],"kind-cores":[16],"memory-by-kind-mb":[32768.0],
   "note-period-s":0.25,"parallelism":[{one}],"takes-priority":true,"when-short":"page","yields-to-loads":[{no}]}},
  "kinds":["std"],"locality":"{locality}","zones":[{zones}],"over-share-worth":0.1,
  "projects":[{{"name":"acme","quota-per-s":100.0,"share":1.0}}],
  "report":{{"how":"{how}","names":["inflight","util"]}},"resolution-s":0.005,
  "rules":{{"answer-slack-s":{slack},"ask-every-s":10.0,"cold-share":0.32,"drain-grace-s":{grace},
   "fall-multiple":2.5,"order-pause-s":{settle},"overload-for-s":3.0,"warm-up-s":15.0}}}}}}"#,
        list = list.join(","),
        classes = classes.join(","),
        may_cancel = spec.may_cancel,
        may_probe = spec.may_probe,
        max_attempts = spec.max_attempts,
        retry_after = deployment.retry_after,
        no = per_class("false"),
        one = per_class("1"),
        slack = spec.answer_slack.as_secs_f64(),
        grace = spec.drain_grace.as_secs_f64(),
        settle = spec.key_cooldown.as_secs_f64(),
    )
}

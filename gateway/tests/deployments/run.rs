//! Carries a drawn deployment out: the real program between its peers, until every request is settled.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::auditor::{Breach, Class, Effect, Group, Serial, State, audit};
use crate::client::Session;
use crate::common::Gateway;
use crate::coordinator::Coordinator;
use crate::draw::{Conduct, Deployment, Lane, Opening, Reports, Step};
use crate::engine::{self, Place};
use crate::world::{World, locked};

/// Longer than any request of a deployment may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long second answers and late attempts are waited for.
const LINGER: Duration = Duration::from_millis(300);
/// What separates two requests of a key, the first of which came on a new connection.
const BEHIND_NEW: Duration = Duration::from_millis(250);

/// Runs the deployment of a seed and judges it.
pub fn run(seed: u64) -> Vec<Breach> {
    let deployment = Deployment::draw(seed);
    let world = World::new(deployment.fates.clone(), deployment.reports);
    let places: Vec<Place> = (deployment.refusing.iter().enumerate())
        .map(|(n, refusing)| if *refusing { engine::refusing() } else { engine::start(n, &world) }.unwrap())
        .collect();
    let coordinator = Coordinator::listen().unwrap();
    let config = config(&deployment, &places, coordinator.address);
    let gateway = Gateway::with_endpoints("", None, "", None, |_| config.clone());
    let change = deployment.change;
    let entry = entry(&deployment, change.engine, &places, state_name(change.state));
    coordinator.tell(&world, change, entry);
    let driver = Arc::new(Driver { deployment, world: world.clone(), gateway: Mutex::new(gateway) });
    let lanes: Vec<_> = (driver.deployment.lanes.iter().cloned())
        .map(|lane| {
            let driver = driver.clone();
            thread::spawn(move || driver.lane(&lane))
        })
        .collect();
    let sessions: Vec<_> = lanes.into_iter().map(|lane| lane.join().unwrap()).collect();
    driver.wait_settled();
    world.end();
    drop(sessions);
    let breaches = audit(&driver.deployment.terms, &world.entries(), world.allowance());
    driver.show(seed, &breaches);
    breaches
}

struct Driver {
    deployment: Deployment,
    world: Arc<World>,
    gateway: Mutex<Gateway>,
}

impl Driver {
    fn address(&self) -> SocketAddr {
        locked(&self.gateway).pg
    }

    fn log(&self) -> String {
        locked(&self.gateway).log()
    }

    /// Carries out the steps of a lane; its sessions stay open until all is over.
    fn lane(&self, lane: &Lane) -> Vec<Arc<Mutex<Session>>> {
        let mut sessions: Vec<Arc<Mutex<Session>>> = Vec::new();
        for step in &lane.steps {
            thread::sleep(Duration::from_millis(step.pause_ms));
            let session = self.write(step, sessions.last().cloned());
            self.conduct(step, &session);
            sessions.push(session);
            if lane.keyed {
                self.wait_taken(step);
            }
        }
        sessions
    }

    fn write(&self, step: &Step, before: Option<Arc<Mutex<Session>>>) -> Arc<Mutex<Session>> {
        let text = |request: &Serial| (*request, self.deployment.texts[*request].as_str());
        let queries: Vec<(Serial, &str)> = step.requests.iter().map(text).collect();
        let open = |queries| Session::open(self.address(), &self.world, queries).unwrap();
        match (step.opening, before) {
            (Opening::WithStart, _) => Arc::new(Mutex::new(open(&queries))),
            (Opening::Reused, Some(session)) => {
                while !locked(&session).is_answered() {
                    thread::sleep(Duration::from_millis(1));
                }
                let mut writer = locked(&session);
                // One that was closed by its client, or ends with an error, takes nothing more.
                if writer.is_ended() {
                    drop(writer);
                    return self.write(&Step { opening: Opening::Fresh, ..step.clone() }, None);
                }
                writer.write(&queries);
                drop(writer);
                session
            }
            (Opening::Fresh | Opening::Reused, _) => {
                let mut session = open(&[]);
                session.wait_ready();
                session.write(&queries);
                Arc::new(Mutex::new(session))
            }
        }
    }

    fn conduct(&self, step: &Step, session: &Arc<Mutex<Session>>) {
        let (address, session, request) = (self.address(), session.clone(), step.requests[0]);
        match step.conduct {
            Conduct::Wait => {}
            Conduct::Leave(after_ms) => drop(thread::spawn(move || {
                thread::sleep(Duration::from_millis(after_ms));
                locked(&session).close_over(request);
            })),
            Conduct::Cancel(after_ms) => drop(thread::spawn(move || {
                thread::sleep(Duration::from_millis(after_ms));
                let _ = locked(&session).cancel(address, request);
            })),
        }
    }

    /// Waits until a request has been taken or settled: what is written behind it then is taken behind it.
    fn wait_taken(&self, step: &Step) {
        let request = step.requests[0];
        let id = self.deployment.terms.requests[request].id.as_deref().unwrap_or_default();
        let taken = format!("request admitted query_id=\"{id}\"");
        let began = Instant::now();
        while !self.log().contains(&taken) && !self.world.is_settled(request) && began.elapsed() < PATIENCE {
            thread::sleep(Duration::from_millis(5));
        }
        if step.opening == Opening::WithStart {
            thread::sleep(BEHIND_NEW);
        }
    }

    fn wait_settled(&self) {
        let began = Instant::now();
        let requests = self.deployment.terms.requests.len();
        while !(0..requests).all(|request| self.world.is_settled(request)) && began.elapsed() < PATIENCE {
            thread::sleep(Duration::from_millis(10));
        }
        while !self.world.is_quiet() && began.elapsed() < PATIENCE {
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(LINGER);
    }

    /// With `DEPLOYMENT_LOGS` set to a folder, leaves there what was seen and what the gateway logged.
    fn show(&self, seed: u64, breaches: &[Breach]) {
        let Ok(folder) = std::env::var("DEPLOYMENT_LOGS") else { return };
        let mut text = format!("{:#?}\n", self.deployment);
        for entry in self.world.entries() {
            text += &format!("{:?} {:?}\n", entry.at, entry.event);
        }
        for breach in breaches {
            text += &format!("{breach:?}\n");
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

/// An engine's entry in the list.
fn entry(deployment: &Deployment, engine: usize, places: &[Place], status: &str) -> String {
    let (facts, address) = (&deployment.terms.engines[engine], places[engine].address);
    let (name, zone, cell) = (&facts.name, &facts.zone, facts.cell);
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"std\",\"group\":{cell},\"status\":\"{status}\",\"weight\":1,\"since_ms\":0}}"
    )
}

fn class(class: &Class) -> String {
    let repeat = match class.effect {
        Effect::Safe => "\"repeat\":\"pure\"".to_owned(),
        Effect::Unsafe => "\"repeat\":\"side_effect\"".to_owned(),
        Effect::Keyed { group, window } => {
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

/// The gateway's configuration.
fn config(deployment: &Deployment, places: &[Place], coordinator: SocketAddr) -> String {
    let terms = &deployment.terms;
    let list: Vec<String> = (0..places.len()).map(|n| entry(deployment, n, places, "Ready")).collect();
    let classes: Vec<String> = terms.classes.iter().map(class).collect();
    let each = |value: &str| vec![value; terms.classes.len()].join(",");
    let how = match deployment.reports {
        Reports::None => "none",
        Reports::Answers => "answers",
        Reports::Probes => "probe",
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
        may_cancel = terms.may_cancel,
        may_probe = terms.may_probe,
        max_attempts = terms.max_attempts,
        retry_after = deployment.retry_after,
        no = each("false"),
        one = each("1"),
        slack = terms.slack.as_secs_f64(),
        grace = terms.grace.as_secs_f64(),
        settle = terms.settle.as_secs_f64(),
    )
}

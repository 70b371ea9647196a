//! Generates small random deployments from fixed seeds: settings, engines, client scripts and engine behaviors.

use std::time::Duration;

use crate::auditor::{Class, EngineInfo, Group, Request, RequestIndex, RetrySafety, Spec, State};

/// SplitMix64: a seed yields the same numbers on every machine.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    pub fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn choose<T: Clone>(&mut self, list: &[T]) -> T {
        list[self.below(list.len() as u64) as usize].clone()
    }

    fn shuffle<T>(&mut self, list: &mut [T]) {
        for last in (1..list.len()).rev() {
            list.swap(last, self.below(last as u64 + 1) as usize);
        }
    }
}

/// Behavior of an engine for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Returns a result on several pages, with or without progress reports while the query runs.
    Served { after_ms: u64, pages: usize, progress: bool },
    /// Responds with status 500. The query may have run.
    Error { after_ms: u64 },
    /// Responds with status 503 and `X-Shed`.
    Shed,
    /// Responds with status 504 and `X-Shed`.
    Expired,
    /// Resets the connection after reading the call and drops the query, like a process that crashes and restarts.
    Crash,
    /// The process crashes after reading the call and is not restarted. At most one engine of a deployment does so.
    PermanentCrash,
    /// Resets the connection after reading the call. The query continues to run.
    Reset { after_ms: u64 },
    /// Never responds, on any connection.
    Silent,
}

/// Action of a client after it has written its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAction {
    Wait,
    /// Closes the connection after a delay in milliseconds.
    Leave(u64),
    /// Cancels after a delay in milliseconds and closes the connection half a second later.
    Cancel(u64),
}

/// Connection on which a client writes its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// A new connection after its start-up.
    New,
    /// A new connection, with the query pipelined after the start-up message.
    WithStartup,
    /// The connection of the previous step after its last answer.
    Reused,
}

/// Requests that are written in one piece.
#[derive(Clone, Debug)]
pub struct Step {
    pub pause_ms: u64,
    pub requests: Vec<RequestIndex>,
    pub connection: ConnectionKind,
    pub action: ClientAction,
}

/// The steps of one client in order.
#[derive(Clone, Debug)]
pub struct ClientScript {
    /// The requests have the same order key. Each step waits until the previous request is admitted.
    pub ordered: bool,
    pub steps: Vec<Step>,
}

/// Source of the load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    None,
    Answers,
    Probes,
}

/// A change of an engine's state, sent by the discovery service `after_ms` after the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct StateChange {
    pub engine: usize,
    pub after_ms: u64,
    pub state: State,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub spec: Spec,
    pub zoned: bool,
    pub reports: LoadReports,
    pub retry_after: bool,
    /// For each engine, whether it refuses connections.
    pub refusing: Vec<bool>,
    /// The query text of each request, with the comment that contains its fields.
    pub queries: Vec<String>,
    /// For each request, the behavior of the engine in each of its first attempts.
    pub behaviors: Vec<Vec<Behavior>>,
    pub scripts: Vec<ClientScript>,
    pub change: StateChange,
}

/// Number of attempts of a request that have a generated behavior. Later attempts succeed.
const SCRIPTED_ATTEMPTS: usize = 3;
const ORDERED_SCRIPTS: usize = 2;
const UNORDERED_SCRIPTS: usize = 4;
const ORDERED_STEPS: usize = 6;
const UNORDERED_STEPS: usize = 4;

impl Deployment {
    pub fn generate(seed: u64) -> Self {
        Generator { rng: Rng::new(seed), queries: Vec::new(), requests: Vec::new(), behaviors: Vec::new() }
            .deployment()
    }
}

struct Generator {
    rng: Rng,
    queries: Vec<String>,
    requests: Vec<Request>,
    behaviors: Vec<Vec<Behavior>>,
}

impl Generator {
    fn deployment(mut self) -> Deployment {
        let zoned = self.rng.chance(75);
        let classes = self.classes();
        let engines = self.engines(zoned);
        let mut refusing = vec![false; engines.len()];
        if self.rng.chance(40) {
            refusing[engines.len() - 1] = true;
        }
        let mut scripts: Vec<ClientScript> =
            (0..ORDERED_SCRIPTS).map(|n| self.ordered_script(&classes, n)).collect();
        scripts.extend((0..UNORDERED_SCRIPTS).map(|_| self.unordered_script(&classes)));
        let change = StateChange {
            engine: 0,
            after_ms: self.rng.between(100, 500),
            state: self.rng.choose(&[State::Draining, State::Gone]),
        };
        let spec = Spec {
            may_cancel: self.rng.chance(70),
            may_probe: self.rng.chance(50),
            max_attempts: self.rng.choose(&[1, 2, 2, 3, 3]),
            key_cooldown: Duration::from_millis(self.rng.between(250, 400)),
            drain_grace: Duration::from_millis(self.rng.between(100, 300)),
            answer_slack: Duration::from_millis(20),
            classes,
            engines,
            requests: self.requests,
        };
        Deployment {
            spec,
            zoned,
            reports: self.rng.choose(&[LoadReports::None, LoadReports::Answers, LoadReports::Probes]),
            retry_after: self.rng.chance(50),
            refusing,
            queries: self.queries,
            behaviors: self.behaviors,
            scripts,
            change,
        }
    }

    fn retry_safety(&mut self) -> RetrySafety {
        let window = Duration::from_millis(self.rng.between(100, 700));
        match self.rng.below(8) {
            0 => RetrySafety::Safe,
            1 => RetrySafety::Keyed { group: Group::All, window },
            2..4 => RetrySafety::Keyed { group: Group::Zone, window },
            4..6 => RetrySafety::Keyed { group: Group::Cell, window },
            _ => RetrySafety::Unsafe,
        }
    }

    /// Two classes with ordered requests and three without.
    fn classes(&mut self) -> Vec<Class> {
        let names = ["ledger", "entry", "lookup", "report", "load"];
        let class = |(n, name): (usize, &&str)| Class {
            name: (*name).to_owned(),
            ordered: n < ORDERED_SCRIPTS,
            retry_safety: match *name {
                "lookup" => RetrySafety::Safe,
                "load" => RetrySafety::Unsafe,
                _ => self.retry_safety(),
            },
            deadline: Duration::from_millis(self.rng.between(1800, 2800)),
        };
        names.iter().enumerate().map(class).collect()
    }

    fn engines(&mut self, zoned: bool) -> Vec<EngineInfo> {
        let count = self.rng.between(3, 4);
        let engine = |n: u64| EngineInfo {
            name: format!("s-{n}"),
            zone: if zoned { self.rng.choose(&["east", "west"]).to_owned() } else { String::new() },
            cell: self.rng.below(2),
        };
        (0..count).map(engine).collect()
    }

    /// Requests with one order key, each on a connection of its own and written without waiting for the previous
    /// answer.
    fn ordered_script(&mut self, classes: &[Class], class: usize) -> ClientScript {
        let order_key = format!("{:016x}", self.rng.next());
        let mut steps = Vec::new();
        for _ in 0..ORDERED_STEPS {
            let request = self.request(classes, class, Some(&order_key), None);
            let connection = self.rng.choose(&[
                ConnectionKind::New,
                ConnectionKind::New,
                ConnectionKind::New,
                ConnectionKind::WithStartup,
            ]);
            let action = self.client_action(15);
            steps.push(Step { pause_ms: 60, requests: vec![request], connection, action });
        }
        ClientScript { ordered: true, steps }
    }

    fn unordered_script(&mut self, classes: &[Class]) -> ClientScript {
        let mut steps = Vec::new();
        for n in 0..UNORDERED_STEPS {
            let class = self.rng.between(ORDERED_SCRIPTS as u64 - 1, classes.len() as u64 - 1) as usize;
            let mut requests = vec![self.request(classes, class, None, None)];
            if self.rng.chance(20) {
                requests.push(self.request(classes, class, None, requests.last().copied()));
            }
            let connection = match self.rng.below(4) {
                0 => ConnectionKind::WithStartup,
                1 if n > 0 => ConnectionKind::Reused,
                _ => ConnectionKind::New,
            };
            let action = if requests.len() == 1 { self.client_action(20) } else { ClientAction::Wait };
            steps.push(Step { pause_ms: self.rng.between(150, 500), requests, connection, action });
        }
        ClientScript { ordered: false, steps }
    }

    fn client_action(&mut self, percent: u64) -> ClientAction {
        if !self.rng.chance(percent) {
            return ClientAction::Wait;
        }
        let after_ms = self.rng.between(0, 200);
        self.rng.choose(&[ClientAction::Leave(after_ms), ClientAction::Cancel(after_ms)])
    }

    /// Adds a request. Requests of unordered classes may get an order key that has no effect.
    fn request(
        &mut self,
        classes: &[Class],
        class: usize,
        order_key: Option<&str>,
        follows: Option<RequestIndex>,
    ) -> RequestIndex {
        let index = self.requests.len();
        let class_info = &classes[class];
        // The driver recognizes the admission of an ordered request by the id.
        let id = (order_key.is_some() || self.rng.chance(96)).then(|| format!("{:016x}", self.rng.next()));
        let timeout = self.rng.chance(95).then(|| self.timeout());
        let has_window = matches!(class_info.retry_safety, RetrySafety::Keyed { .. });
        let idempotency_key = self
            .rng
            .chance(if has_window { 90 } else { 10 })
            .then(|| format!("{:08x}", self.rng.next() as u32));
        let mut fields = vec![format!("c={}", class_info.name)];
        fields.extend(id.iter().map(|id| format!("i={id}")));
        fields.extend(timeout.iter().map(|timeout| format!("d={timeout}")));
        fields.extend(idempotency_key.iter().map(|key| format!("k={key}")));
        fields.extend(order_key.map(|key| format!("o={key}")));
        if !class_info.ordered && self.rng.chance(20) {
            fields.push("o=00000000000000aa".to_owned());
        }
        for (percent, variants) in [
            (40, &["h=20", "h=820.0", "h=12.25"][..]),
            (40, &["mem=96", "mem=8"][..]),
            (40, &["t=acme"][..]),
            (25, &["r=1"][..]),
            (30, &["z=9", "trace=a.b-c", "q2="][..]),
        ] {
            if self.rng.chance(percent) {
                fields.push(self.rng.choose(variants).to_owned());
            }
        }
        self.rng.shuffle(&mut fields);
        let statement = self.statement(index);
        let gap = self.rng.choose(&[" ", "\n", "  "]);
        self.queries.push(format!("/* {} */{gap}{statement}", fields.join(",")));
        let behaviors = (0..SCRIPTED_ATTEMPTS).map(|_| self.behavior(order_key.is_some())).collect();
        self.behaviors.push(behaviors);
        self.requests.push(Request {
            class,
            id,
            timeout_ms: timeout.and_then(|timeout| timeout.parse().ok()),
            order_key: order_key.map(str::to_owned),
            idempotency_key,
            statement,
            follows,
        });
        index
    }

    fn timeout(&mut self) -> String {
        let ms = self.rng.between(250, 2500);
        match self.rng.below(4) {
            0 => format!("{ms}.0"),
            1 => format!("{ms}.75"),
            _ => ms.to_string(),
        }
    }

    fn statement(&mut self, index: RequestIndex) -> String {
        let group = self.rng.below(30);
        let tag = format!("tag = '#{index}'");
        match self.rng.below(5) {
            0 => format!("SELECT day, max(note) FROM sales_{group}.orders WHERE {tag} GROUP BY day"),
            1 => format!("/* a hint */ SELECT v FROM sales_{group}.orders o_3 WHERE {tag} -- c=none\n  "),
            2 => format!(
                "INSERT INTO sales_{group}.orders SELECT '/* c=x,i=0 */', 'grün' FROM staging.t WHERE {tag};"
            ),
            3 => format!("SELECT\n\tday FROM sales_{group}.orders WHERE {tag} /* c=lookup,d=1 */ AND n = 1"),
            _ => format!("select 1 where {tag}"),
        }
    }

    fn behavior(&mut self, ordered: bool) -> Behavior {
        let after_ms = self.rng.between(20, 330);
        let (pages, progress) = (self.rng.between(1, 3) as usize, self.rng.chance(50));
        match self.rng.below(100) {
            0..20 if !ordered => Behavior::Served { after_ms: 0, pages, progress },
            20..52 => Behavior::Served { after_ms, pages, progress },
            52..66 => Behavior::Error { after_ms: if progress { 0 } else { 2 * after_ms } },
            66..76 => Behavior::Shed,
            76..78 => Behavior::Expired,
            78..84 => Behavior::Crash,
            84..87 => Behavior::PermanentCrash,
            87..94 => Behavior::Reset { after_ms },
            94..100 => Behavior::Silent,
            _ => Behavior::Served { after_ms: 100, pages, progress },
        }
    }
}

//! What idle sessions cost, how punctual timers are, and what a wake-up of half of all sessions does.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use clap::Args;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::fleet::{self, Gateway, resident_bytes, spent, user_and_system};
use crate::helper::{self, Done};
use crate::spread::{Spread, histogram};
use crate::{Front, Output, memory};

/// Settings of the experiment.
#[derive(Args)]
pub struct Options {
    /// Idle sessions.
    #[arg(long, default_value_t = 15_000)]
    connections: usize,
    /// The table, the wheel and the governor alone, without sockets.
    #[arg(long)]
    in_memory: bool,
    /// What idle sessions speak.
    #[arg(long, value_enum, default_value_t = Front::Pg)]
    front: Front,
    /// A gateway that is built already; without it the workspace's is built.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// An earlier build, measured in turn with the gateway; PostgreSQL only.
    #[arg(long)]
    against: Option<PathBuf>,
    /// How often all is measured.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// How often in a round half of the sessions wake up.
    #[arg(long, default_value_t = 5)]
    wakes: usize,
    /// Also measures time-outs of 3 s and 20 s.
    #[arg(long)]
    time_outs: bool,
    /// How long each steady state is watched, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    #[command(flatten)]
    output: Output,
}

/// Sessions of one helper process; the limit is about 20,000 descriptors.
const MOST_OF_ONE: usize = 3_750;
/// Active clients beside the idle ones.
const ACTIVE: usize = 4;
/// What the engine takes for a lookup.
const WORK: Duration = Duration::from_millis(2);
/// Time until what follows a wave of connections is over, on any build.
const SETTLE: Duration = Duration::from_secs(4);

/// A session that wakes up within 2 s counts as in conversation; a crowd is to have been silent for longer.
const SILENCE: Duration = Duration::from_millis(2_500);

/// What one round found.
#[derive(Clone, Debug, Serialize)]
struct Round {
    build: String,
    bytes_per_session: f64,
    open_ms_each: f64,
    idle_wakeups_per_s: f64,
    idle_cpu_percent: f64,
    latency_alone: Spread,
    latency_beside_parked: Spread,
    wake_half: Done,
    wake_half_least_ms: f64,
    wake_half_most_ms: f64,
    wake_cpu_ms: f64,
    active_during_wake: Spread,
    wake_half_and_reconnect: Done,
    reconnected: Done,
    active_during_both: Spread,
    time_outs: Vec<TimeOut>,
    churn_per_s: f64,
    churn_cpu_percent: f64,
    churn_system_part: f64,
    bytes_after: f64,
    timers_late: String,
    longest_waits: String,
}

/// How punctually requests that nobody answers are ended, as their clients see it.
#[derive(Clone, Debug, Serialize)]
struct TimeOut {
    class: String,
    wait_ms: u64,
    count: usize,
    /// From the first to the last, in milliseconds.
    apart_ms: f64,
    /// The latest against what was told, less the gateway's own margin, in milliseconds.
    late_ms: f64,
}

/// What the gateway keeps of a client's time for the way, and the resolution of the settings.
const MARGIN_MS: f64 = 30.0;

/// Has clients ask for what never ends, beside all that are parked.
fn time_outs(address: SocketAddr, class: &str, wait_ms: u64, count: usize) -> anyhow::Result<TimeOut> {
    let ask = |n: usize| {
        let class = class.to_owned();
        thread::spawn(move || -> anyhow::Result<f64> {
            let mut stream = helper::open(address, Ipv4Addr::LOCALHOST.into(), Front::Pg)?;
            stream.set_read_timeout(Some(Duration::from_secs(30)))?;
            // Not all in one turn, so that each has a time of its own.
            thread::sleep(Duration::from_millis(7 * n as u64));
            let id = format!("{wait_ms:08x}{n:08x}");
            let began = Instant::now();
            helper::ask(
                &mut stream,
                &format!("/* c={class},i={id},d={wait_ms},h=50 */ SELECT never FROM a_1.b"),
            )?;
            helper::read_until_ready(&mut stream)?;
            Ok(began.elapsed().as_secs_f64() * 1e3)
        })
    };
    let threads: Vec<_> = (0..count).map(ask).collect();
    let mut took = Vec::new();
    for thread in threads {
        took.push(thread.join().map_err(|_| anyhow::anyhow!("a client panicked"))??);
    }
    took.sort_by(f64::total_cmp);
    let (first, last) = (took[0], took[took.len() - 1]);
    Ok(TimeOut {
        class: class.to_owned(),
        wait_ms,
        count,
        apart_ms: last - first,
        late_ms: last - (wait_ms as f64 - MARGIN_MS),
    })
}

/// A helper process.
struct Helper {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Helper {
    fn start(address: SocketAddr, number: usize, front: Front, connections: usize) -> anyhow::Result<Self> {
        let source = Ipv4Addr::new(127, 0, 1, 1 + number as u8);
        let front = if front == Front::Pg { "pg" } else { "mysql" };
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["helper", &address.to_string(), &source.to_string(), front, &connections.to_string()]);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take().context("no input")?;
        let output = BufReader::new(child.stdout.take().context("no output")?);
        Ok(Self { child, input, output })
    }

    fn ask(&mut self, command: &str) -> anyhow::Result<()> {
        Ok(self.input.write_all(format!("{command}\n").as_bytes())?)
    }

    fn answer(&mut self) -> anyhow::Result<Done> {
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        serde_json::from_str(&line).context("a helper ended")
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Has all helpers do something at once.
fn all(helpers: &mut [Helper], command: impl Fn(usize) -> String) -> anyhow::Result<Done> {
    for (n, helper) in helpers.iter_mut().enumerate() {
        helper.ask(&command(n))?;
    }
    let mut whole = Done::default();
    for helper in helpers {
        let one = helper.answer()?;
        whole.done += one.done;
        whole.lost += one.lost;
        whole.ms = whole.ms.max(one.ms);
        whole.p99_ms = whole.p99_ms.max(one.p99_ms);
        whole.max_ms = whole.max_ms.max(one.max_ms);
    }
    Ok(whole)
}

/// Clients that ask for one lookup after the other until they are stopped.
struct Active {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<anyhow::Result<Histogram<u64>>>>,
}

impl Active {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |n: usize| {
            let stop = stop.clone();
            thread::spawn(move || ask_for_lookups(address, n, &stop))
        };
        Self { threads: (0..ACTIVE).map(start).collect(), stop }
    }

    fn end(self) -> anyhow::Result<Spread> {
        self.stop.store(true, Ordering::SeqCst);
        let mut whole = histogram();
        for thread in self.threads {
            whole.add(thread.join().map_err(|_| anyhow::anyhow!("a client panicked"))??)?;
        }
        Ok(Spread::from(&whole))
    }

    fn run(address: SocketAddr, span: Duration) -> anyhow::Result<Spread> {
        let active = Self::start(address);
        thread::sleep(span);
        active.end()
    }
}

fn ask_for_lookups(address: SocketAddr, client: usize, stop: &AtomicBool) -> anyhow::Result<Histogram<u64>> {
    let mut stream = helper::open(address, Ipv4Addr::LOCALHOST.into(), Front::Pg)?;
    let mut latencies = histogram();
    let run = std::process::id() as u16;
    for n in 0_u64.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let began = Instant::now();
        let id = format!("{run:04x}{client:02x}{:010x}", n + (began.elapsed().as_nanos() as u64 & 0xff));
        helper::ask(&mut stream, &format!("/* c=lookup,i={id},d=3000,h=2 */ SELECT v FROM a_1.b"))?;
        let error = helper::read_until_ready(&mut stream)?;
        ensure!(error.is_none(), "a lookup ended with {error:?}");
        latencies.saturating_record(began.elapsed().as_micros() as u64);
        // Ready again after a pause, as an active control unit is.
        thread::sleep(Duration::from_millis(3));
    }
    Ok(latencies)
}

fn figure(counters: &str, key: &str) -> String {
    let found = counters.split_whitespace().find_map(|w| w.trim_matches('"').strip_prefix(key));
    found.unwrap_or("-").trim_matches('"').to_owned()
}

fn round(options: &Options, program: &Path, build: &str, new: bool) -> anyhow::Result<Round> {
    let n = options.connections;
    let span = Duration::from_secs(options.seconds);
    let gateway = Gateway::start(program, fleet::engine(WORK)?, n + n / 5 + 100, new)?;
    let process = gateway.process();
    let address = match options.front {
        Front::Pg => gateway.pg,
        Front::Mysql => gateway.mysql.context("this build has no MySQL front here")?,
    };
    let latency_alone = Active::run(gateway.pg, span)?;
    let before = resident_bytes(process)?;
    let count = n.div_ceil(MOST_OF_ONE).max(2);
    let each = n / count;
    let mut helpers: Vec<Helper> =
        (0..count).map(|i| Helper::start(address, i, options.front, each)).collect::<Result<_, _>>()?;
    let opened = all(&mut helpers, |_| "open".to_owned())?;
    thread::sleep(SETTLE);
    let per_session = |bytes: u64| (bytes as f64 - before as f64) / opened.done as f64;
    let bytes_per_session = per_session(resident_bytes(process)?);

    let start = spent(process)?;
    thread::sleep(span);
    let end = spent(process)?;
    let seconds = span.as_secs_f64();
    let idle_wakeups_per_s = (end.wakeups - start.wakeups) as f64 / seconds;
    let idle_cpu_percent = 100.0 * (end.cpu_s - start.cpu_s) / seconds;

    let latency_beside_parked = Active::run(gateway.pg, span)?;
    let pause = Duration::from_millis(500);
    let active = Active::start(gateway.pg);
    thread::sleep(pause);
    let start = spent(process)?;
    let mut wakes = Vec::new();
    for _ in 0..options.wakes.max(1) {
        wakes.push(all(&mut helpers, |_| format!("wake {}", each / 2))?);
        thread::sleep(SILENCE);
    }
    let wake_cpu_ms = 1e3 * (spent(process)?.cpu_s - start.cpu_s) / wakes.len() as f64;
    wakes.sort_by(|a, b| a.ms.total_cmp(&b.ms));
    let lost = wakes.iter().map(|w| w.lost).sum();
    let wake_half = Done { lost, ..wakes[wakes.len() / 2] };
    let (wake_half_least_ms, wake_half_most_ms) = (wakes[0].ms, wakes[wakes.len() - 1].ms);
    let active_during_wake = active.end()?;

    thread::sleep(SILENCE);
    // A second crowd connects anew while the first wakes up.
    let mut other = Helper::start(address, count, options.front, n / 10)?;
    other.ask("open")?;
    other.answer()?;
    thread::sleep(SILENCE);
    let active = Active::start(gateway.pg);
    thread::sleep(pause);
    other.ask(&format!("reconnect {}", n / 10))?;
    let wake_half_and_reconnect = all(&mut helpers, |_| format!("wake {}", each / 2))?;
    let reconnected = other.answer()?;
    thread::sleep(pause);
    let active_during_both = active.end()?;
    drop(other);

    let time_outs = if options.time_outs {
        vec![time_outs(gateway.pg, "lookup", 3_000, 20)?, time_outs(gateway.pg, "load", 20_000, 8)?]
    } else {
        Vec::new()
    };

    let (user, system) = user_and_system(process)?;
    let start = spent(process)?;
    let churned = all(&mut helpers, |_| "churn 3000".to_owned())?;
    let churn_cpu_percent = 100.0 * (spent(process)?.cpu_s - start.cpu_s) / (churned.ms / 1e3);
    let (user_after, system_after) = user_and_system(process)?;
    let churn_system_part = (system_after - system) / (user_after - user + system_after - system).max(0.01);
    thread::sleep(SETTLE);
    let bytes_after = per_session(resident_bytes(process)?);
    let counters = gateway.counters()?;
    Ok(Round {
        build: build.to_owned(),
        bytes_per_session,
        open_ms_each: opened.ms / each as f64,
        idle_wakeups_per_s,
        idle_cpu_percent,
        latency_alone,
        latency_beside_parked,
        wake_half,
        wake_half_least_ms,
        wake_half_most_ms,
        wake_cpu_ms,
        active_during_wake,
        wake_half_and_reconnect,
        reconnected,
        active_during_both,
        time_outs,
        churn_per_s: churned.done as f64 / (churned.ms / 1e3),
        churn_cpu_percent,
        churn_system_part,
        bytes_after,
        timers_late: format!(
            "n={} p50={} p99={} max={} us",
            figure(&counters, "timer_lag=timers_rung="),
            figure(&counters, "late_p50_us="),
            figure(&counters, "late_p99_us="),
            figure(&counters, "late_max_us=")
        ),
        longest_waits: format!(
            "active {} us, woken {} us, new {} us; longest turn {} us",
            figure(&counters, "longest_active_us="),
            figure(&counters, "longest_woken_us="),
            figure(&counters, "longest_new_us="),
            figure(&counters, "longest_turn_us=")
        ),
    })
}

impl std::fmt::Display for Round {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "== {}", self.build)?;
        writeln!(
            f,
            "resident for each session    {:.0} bytes, {:.0} at the end of the round",
            self.bytes_per_session, self.bytes_after
        )?;
        writeln!(f, "opened, each                 {:.3} ms", self.open_ms_each)?;
        writeln!(
            f,
            "while all are idle           {:.2} wake-ups a second, {:.3}% of a core",
            self.idle_wakeups_per_s, self.idle_cpu_percent
        )?;
        writeln!(f, "lookups, nobody parked       {}", self.latency_alone)?;
        writeln!(f, "lookups beside the parked    {}", self.latency_beside_parked)?;
        let ratio = |of: fn(&Spread) -> f64| of(&self.latency_beside_parked) / of(&self.latency_alone);
        writeln!(
            f,
            "  ratio                      p50 {:.3}, p99 {:.3}",
            ratio(|s| s.p50_ms),
            ratio(|s| s.p99_ms)
        )?;
        let wake = |d: &Done| {
            format!(
                "{} in {:.1} ms (single: p99 {:.1}, max {:.1}), lost {}",
                d.done, d.ms, d.p99_ms, d.max_ms, d.lost
            )
        };
        writeln!(f, "half wake up                 {}", wake(&self.wake_half))?;
        writeln!(
            f,
            "  least and most             {:.1} and {:.1} ms, {:.1} ms of the core each with what is between",
            self.wake_half_least_ms, self.wake_half_most_ms, self.wake_cpu_ms
        )?;
        writeln!(f, "  active lookups             {}", self.active_during_wake)?;
        writeln!(f, "half wake up, a tenth anew   {}", wake(&self.wake_half_and_reconnect))?;
        writeln!(f, "  those that connect anew    {}", wake(&self.reconnected))?;
        writeln!(f, "  active lookups             {}", self.active_during_both)?;
        for t in &self.time_outs {
            let TimeOut { class, wait_ms, count, apart_ms, late_ms } = t;
            writeln!(
                f,
                "{count} of {class}, {wait_ms} ms           ended {late_ms:.1} ms late at most, {apart_ms:.1} ms apart"
            )?;
        }
        writeln!(
            f,
            "opened and closed            {:.0} a second at {:.0}% of a core, {:.0}% of that in the kernel",
            self.churn_per_s,
            self.churn_cpu_percent,
            100.0 * self.churn_system_part
        )?;
        writeln!(f, "longest wait to be read      {}", self.longest_waits)?;
        write!(f, "timers late                  {}", self.timers_late)
    }
}

/// Runs the experiment.
pub fn run(options: &Options) -> anyhow::Result<()> {
    if options.in_memory {
        let figures = memory::measure(options.connections)?;
        println!("{figures}");
        return options.output.write(&figures);
    }
    let program = match &options.gateway {
        Some(path) => path.clone(),
        None => fleet::build()?,
    };
    let mut rounds = Vec::new();
    for n in 1..=options.rounds {
        let builds = [(Some(&program), "this build"), (options.against.as_ref(), "the build before")];
        for (at, (path, name)) in builds.into_iter().enumerate() {
            let Some(path) = path else { continue };
            let found = round(options, path, name, at == 0)?;
            println!("{found}   (round {n} of {})\n", options.rounds);
            rounds.push(found);
        }
    }
    options.output.write(&rounds)
}

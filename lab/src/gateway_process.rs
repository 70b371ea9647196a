//! Starts a gateway process and a mock engine for it, and reads resource usage of processes from `/proc`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use anyhow::{Context, anyhow};
use serde_json::json;

/// Resident anonymous memory of a process, in bytes. Fails if the process has ended.
pub fn resident_bytes(process: u32) -> anyhow::Result<u64> {
    let kb = status_value(process, "RssAnon:")?;
    Ok(kb * 1024)
}

/// A number from `/proc/PID/status`: kilobytes for memory, else a count.
fn status_value(process: u32, key: &str) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(key))
        .ok_or_else(|| anyhow!("{key} is missing in the status of the process"))?;
    Ok(line.split_whitespace().next().unwrap_or_default().parse()?)
}

/// Cumulative processor usage of the main thread of a process.
#[derive(Clone, Copy, Debug)]
pub struct CpuUsage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Wake-ups of the thread, counted as its voluntary context switches.
    pub wakeups: u64,
}

/// Reads the processor usage of the main thread of a process.
pub fn cpu_usage(process: u32) -> anyhow::Result<CpuUsage> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat"))?;
    let ns: f64 = text.split_whitespace().next().unwrap_or_default().parse()?;
    Ok(CpuUsage { cpu_s: ns / 1e9, wakeups: status_value(process, "voluntary_ctxt_switches:")? })
}

/// Processor time of all threads of a process in user mode and in the kernel, in seconds with a resolution of 10 ms.
pub fn user_and_system(process: u32) -> anyhow::Result<(f64, f64)> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| -> anyhow::Result<f64> {
        Ok(fields.get(i).context("missing field in /proc/PID/stat")?.parse::<f64>()? / 100.0)
    };
    Ok((ticks(11)?, ticks(12)?))
}

/// Starts a mock engine. It answers each query with one row after `service_time`, except that a query whose text
/// contains `never` does not end.
pub fn start_engine(service_time: Duration) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, service_time));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, service_time: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
        let length = length.and_then(|l| l.trim().parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let never = body.windows(5).any(|w| w == b"never");
        let answer: &[u8] = if head.starts_with("DELETE") {
            b"HTTP/1.1 204 No Content\r\n\r\n"
        } else if never || head.starts_with("GET") {
            // The gateway polls only queries that do not end.
            thread::sleep(Duration::from_millis(200));
            b"HTTP/1.1 202 later\r\nContent-Length: 0\r\n\r\n"
        } else {
            thread::sleep(service_time);
            b"HTTP/1.1 200 OK\r\nPage-Count: 1\r\nX-Meter: queue:0\r\nContent-Length: 2\r\n\r\n1\n"
        };
        stream.write_all(answer)?;
    }
}

/// A gateway process. Dropping kills it and removes its folder.
pub struct Gateway {
    child: Child,
    folder: PathBuf,
    log: Receiver<String>,
    /// Address of the PostgreSQL listener.
    pub pg: SocketAddr,
    /// Address of the MySQL listener, `None` if the gateway opened none.
    pub mysql: Option<SocketAddr>,
}

/// Builds the gateway in release mode and returns the path of its executable.
pub fn build_gateway() -> anyhow::Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let built = Command::new(cargo).args(["build", "--release", "--locked", "-p", "wrenhatch"]).status()?;
    anyhow::ensure!(built.success(), "building the gateway failed");
    let own = std::env::current_exe()?;
    Ok(own.parent().context("the executable has no parent directory")?.join("../release/wrenhatch"))
}

impl Gateway {
    /// Starts a gateway for `engine` that admits up to `clients` clients, and waits until it serves. If
    /// `reads_operator_file` is true, it starts with an operator's file that opens the MySQL front end. Earlier builds
    /// do not read such a file.
    pub fn start(
        program: &Path,
        engine: SocketAddr,
        clients: usize,
        reads_operator_file: bool,
    ) -> anyhow::Result<Self> {
        let folder = std::env::temp_dir().join(format!("wrenhatch-lab-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let config = folder.join("config.json");
        std::fs::write(&config, settings(engine, clients).to_string())?;
        let mut command = Command::new(program);
        command.arg("serve").env("LB_CONFIG", &config).env("LB_NAME", "lab").env("LB_LISTEN", "127.0.0.1:0");
        if reads_operator_file {
            let file = folder.join("operator.toml");
            let text = "[mysql]\nlisten = \"127.0.0.1:0\"\nlogin = { user = \"gateway\" }\n\
                [mysql.users]\nunit = { tenant = \"acme\" }\n";
            std::fs::write(&file, text)?;
            command.arg("--config").arg(file);
        }
        let mut child = command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn()?;
        let mut lines =
            BufReader::new(child.stderr.take().context("the gateway has no standard error")?).lines();
        let serving = lines.by_ref().map_while(Result::ok).find(|l| l.contains("serving"));
        let serving =
            serving.ok_or_else(|| anyhow!("the gateway ended before it logged that it is serving"))?;
        let address = |key: &str| {
            let value = serving.split_whitespace().find_map(|w| w.strip_prefix(key))?;
            value.parse::<SocketAddr>().ok()
        };
        let (pg, mysql) =
            (address("listen=").context("the gateway logged no listen address")?, address("mysql="));
        let (lines_sender, log) = channel();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(lines_sender.send(l))));
        Ok(Self { child, folder, log, pg, mysql })
    }

    /// Process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Makes the gateway log its counters (SIGUSR1) and returns that line. Fails if nothing is logged for 5 s.
    pub fn counters(&self) -> anyhow::Result<String> {
        while self.log.try_recv().is_ok() {}
        let id = self.process().to_string();
        anyhow::ensure!(
            Command::new("kill").args(["-USR1", &id]).status()?.success(),
            "sending SIGUSR1 to the gateway failed"
        );
        loop {
            let line = self.log.recv_timeout(Duration::from_secs(5))?;
            if line.contains("counters=") {
                return Ok(line);
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings(engine: SocketAddr, clients: usize) -> serde_json::Value {
    let class = |name: &str, aim: f64, deadline: f64, repeat: &str, worth: f64| {
        json!({"name": name, "aim-s": aim, "aim-stretch": 1.5, "deadline-s": deadline, "late-value": 0.1,
            "repeat": repeat, "worth": worth})
    };
    json!({
        "name": "lab", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        // The gateway assigns a third of its descriptors to clients.
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 3 * clients},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"index": 1, "snapshot": true, "endpoints": [
            {"name": "e1", "address": engine, "zone": "z", "type": "k", "group": 0, "status": "Ready",
                "weight": 1, "since_ms": 0}]}}]},
        "settings": {
            "allowed": {"cancelling": true, "connect-timeout-s": 0.25, "keepalive-s": 15.0, "max-attempts": 3,
                "max-open": 100_000, "max-retry-after-s": 0.5, "probing": false, "retry-after": true},
            "balancers": 1,
            "classes": [class("lookup", 0.6, 3.0, "pure", 1.0), class("report", 2.0, 20.0, "pure", 10.0),
                class("load", 4.0, 25.0, "side_effect", 12.0)],
            "domain": {"grants-count": true, "holds-tables": [false, false, true], "kind-cores": [64],
                "memory-by-kind-mb": [262_144.0], "note-period-s": 1.0, "parallelism": [1, 4, 2],
                "takes-priority": true, "when-short": "page", "yields-to-loads": [false, false, false]},
            "kinds": ["k"], "locality": "z", "zones": ["z"], "over-share-worth": 0.1,
            "projects": [{"name": "acme", "quota-per-s": 100_000.0, "share": 1.0}],
            "report": {"how": "answers", "names": ["queue"]}, "resolution-s": 0.005,
            "rules": {"answer-slack-s": 0.02, "cold-share": 0.32, "drain-grace-s": 0.5, "fall-multiple": 2.5,
                "overload-for-s": 3.0, "warm-up-s": 15.0}
        }
    })
}

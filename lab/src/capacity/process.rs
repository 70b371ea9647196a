//! Starts a gateway process and reads its resource usage, counters and metrics.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::bounds::proc_status;
use super::error::CapacityError;
use super::site::Site;

/// Maximum wait for a log line or a response of the gateway.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Length of a line feed in bytes.
const LINE_END: u64 = 1;

/// A running gateway process, killed on drop.
pub struct Gateway {
    child: Child,
    dir: PathBuf,
    lines: Receiver<String>,
    log_bytes: Arc<AtomicU64>,
    /// Address of the PostgreSQL listener.
    pub listen: SocketAddr,
    /// Address of the admin interface.
    pub ops: SocketAddr,
    /// Length of the configuration file in bytes.
    pub file_bytes: usize,
}

/// Number for the directory of the next gateway, unique within this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

impl Gateway {
    /// Starts a gateway binary with the configuration of a site and a log level, and waits until it serves.
    ///
    /// # Errors
    /// A file can't be written, the process can't be started, or it logs no line with `serving` and its addresses within
    /// `ANSWER_TIMEOUT`.
    pub fn start(program: &Path, site: &Site, level: &str) -> Result<Self, CapacityError> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("wrenhatch-capacity-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(CapacityError::file(&dir))?;
        let config = dir.join("config.json");
        let text = site.config_json();
        std::fs::write(&config, &text).map_err(CapacityError::file(&config))?;
        let mut command = Command::new(program);
        command.args(["serve", "--log", level]).env("LB_CONFIG", &config).env("TMPDIR", &dir);
        if let Some(text) = site.operator_toml() {
            let operator = dir.join("operator.toml");
            std::fs::write(&operator, text).map_err(CapacityError::file(&operator))?;
            command.arg("--config").arg(operator);
        }
        command.env("LB_NAME", "capacity").env("LB_LISTEN", "127.0.0.1:0").env("LB_OPS", "127.0.0.1:0");
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(CapacityError::file(program))?;
        let log_bytes = Arc::<AtomicU64>::default();
        let (lines_sender, lines) = channel();
        if let Some(log) = child.stderr.take() {
            let counter = log_bytes.clone();
            thread::spawn(move || read_log(log, &counter, &lines_sender));
        }
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut gateway =
            Self { child, dir, lines, log_bytes, listen: unset, ops: unset, file_bytes: text.len() };
        let serving = gateway.wait_for_line("serving")?;
        gateway.listen = address(&serving, "listen=")?;
        gateway.ops = address(&serving, "ops=")?;
        Ok(gateway)
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time in microseconds from `/proc/PID/schedstat`, which covers the gateway's only thread.
    ///
    /// # Errors
    /// The process has ended.
    pub fn cpu_us(&self) -> Result<f64, CapacityError> {
        let path = PathBuf::from(format!("/proc/{}/schedstat", self.pid()));
        let text = std::fs::read_to_string(&path).map_err(CapacityError::file(&path))?;
        let spent = text.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok());
        spent
            .map(|ns| ns / 1e3)
            .ok_or_else(|| CapacityError::Unexpected("no processor time in schedstat".to_owned()))
    }

    /// Returns the resident anonymous memory in bytes.
    ///
    /// # Errors
    /// The process has ended.
    pub fn resident_bytes(&self) -> Result<f64, CapacityError> {
        let kilobytes = proc_status(self.pid(), "RssAnon:");
        let ended = || CapacityError::Unexpected("the gateway has ended".to_owned());
        kilobytes.map(|kb| kb as f64 * 1024.0).ok_or_else(ended)
    }

    /// Returns the number of open file descriptors.
    ///
    /// # Errors
    /// The process has ended.
    pub fn descriptors(&self) -> Result<usize, CapacityError> {
        let path = PathBuf::from(format!("/proc/{}/fd", self.pid()));
        Ok(std::fs::read_dir(&path).map_err(CapacityError::file(&path))?.count())
    }

    /// Returns the number of bytes logged since the start.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes.load(Ordering::SeqCst)
    }

    /// Sends SIGHUP, on which the gateway reloads its configuration.
    ///
    /// # Errors
    /// The process has ended.
    pub fn reload(&self) -> Result<(), CapacityError> {
        self.signal(Signal::HUP)
    }

    /// Sends SIGUSR1, on which the gateway prints its counters, and returns the counter `name`.
    ///
    /// # Errors
    /// The process has ended, or does not print the counter.
    pub fn counter(&self, name: &str) -> Result<u64, CapacityError> {
        while self.lines.try_recv().is_ok() {}
        self.signal(Signal::USR1)?;
        let line = self.wait_for_line("counters=")?;
        let key = format!("{name}=");
        let value = line.split(['"', ' ']).find_map(|part| part.strip_prefix(&key));
        let missing = || CapacityError::Unexpected(format!("no counter {name} in {line}"));
        value.and_then(|n| n.parse().ok()).ok_or_else(missing)
    }

    /// Returns the response to `GET /status/metrics`, including its head.
    ///
    /// # Errors
    /// The admin interface does not respond.
    pub fn metrics(&self) -> Result<String, CapacityError> {
        let mut stream = TcpStream::connect(self.ops)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(b"GET /status/metrics HTTP/1.1\r\nHost: capacity\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Returns the number of engines in the gateway's endpoint list according to its metrics.
    ///
    /// # Errors
    /// The admin interface does not respond, or the metric is missing.
    pub fn engines_known(&self) -> Result<usize, CapacityError> {
        let metrics = self.metrics()?;
        let known = metrics.lines().find_map(|line| line.strip_prefix("edge_lb.engines_known="));
        let missing = || CapacityError::Unexpected("the metric edge_lb.engines_known is missing".to_owned());
        known.and_then(|n| n.parse().ok()).ok_or_else(missing)
    }

    fn signal(&self, signal: Signal) -> Result<(), CapacityError> {
        let process = Pid::from_raw(self.pid() as i32);
        let process = process.ok_or_else(|| CapacityError::Unexpected("invalid process id".to_owned()))?;
        kill_process(process, signal).map_err(|e| CapacityError::Io(e.into()))
    }

    fn wait_for_line(&self, text: &str) -> Result<String, CapacityError> {
        loop {
            let timed_out = |_| CapacityError::Unexpected(format!("the gateway logged no line with {text}"));
            let line = self.lines.recv_timeout(ANSWER_TIMEOUT).map_err(timed_out)?;
            if line.contains(text) {
                return Ok(line);
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Counts the bytes of the log. Forwards only the lines that `wait_for_line` looks for, so that lines about requests do
/// not accumulate in the channel.
fn read_log(log: ChildStderr, counter: &AtomicU64, lines_sender: &Sender<String>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        counter.fetch_add(line.len() as u64 + LINE_END, Ordering::SeqCst);
        if line.contains("serving") || line.contains("counters=") {
            let _ = lines_sender.send(line);
        }
    }
}

fn address(line: &str, key: &str) -> Result<SocketAddr, CapacityError> {
    let value = line.split_whitespace().find_map(|part| part.strip_prefix(key));
    let missing = || CapacityError::Unexpected(format!("no address after {key} in: {line}"));
    value.and_then(|value| value.trim_matches('"').parse().ok()).ok_or_else(missing)
}

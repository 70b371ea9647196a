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

use super::bounds::status;
use super::error::CapacityError;
use super::site::Site;

/// Maximum wait for a log line or a response of the gateway.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Length of a line feed in bytes.
const LINE_END: u64 = 1;

/// A running gateway process, killed on drop.
pub struct Gateway {
    child: Child,
    folder: PathBuf,
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
static STARTED: AtomicU64 = AtomicU64::new(0);

impl Gateway {
    /// Starts a gateway binary with the configuration of a site and a log level, and waits until it serves.
    ///
    /// # Errors
    /// The process can't be started, or does not log that it serves within `ANSWER_TIMEOUT`.
    pub fn start(program: &Path, site: &Site, level: &str) -> Result<Self, CapacityError> {
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("wrenhatch-capacity-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(CapacityError::file(&folder))?;
        let config = folder.join("config.json");
        let text = site.configuration();
        std::fs::write(&config, &text).map_err(CapacityError::file(&config))?;
        let mut command = Command::new(program);
        command.args(["serve", "--log", level]).env("LB_CONFIG", &config).env("TMPDIR", &folder);
        if let Some(text) = site.operator() {
            let operator = folder.join("operator.toml");
            std::fs::write(&operator, text).map_err(CapacityError::file(&operator))?;
            command.arg("--config").arg(operator);
        }
        command.env("LB_NAME", "capacity").env("LB_LISTEN", "127.0.0.1:0").env("LB_OPS", "127.0.0.1:0");
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(CapacityError::file(program))?;
        let log_bytes = Arc::<AtomicU64>::default();
        let (lines_sender, lines) = channel();
        if let Some(log) = child.stderr.take() {
            let counted = log_bytes.clone();
            thread::spawn(move || read_log(log, &counted, &lines_sender));
        }
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut gateway =
            Self { child, folder, lines, log_bytes, listen: unset, ops: unset, file_bytes: text.len() };
        let serving = gateway.line_with("serving")?;
        gateway.listen = address(&serving, "listen=")?;
        gateway.ops = address(&serving, "ops=")?;
        Ok(gateway)
    }

    /// Returns the process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time in microseconds from `/proc/PID/schedstat`, which covers the gateway's only thread.
    ///
    /// # Errors
    /// The process has ended.
    pub fn cpu_us(&self) -> Result<f64, CapacityError> {
        let path = PathBuf::from(format!("/proc/{}/schedstat", self.process()));
        let text = std::fs::read_to_string(&path).map_err(CapacityError::file(&path))?;
        let spent = text.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok());
        spent
            .map(|ns| ns / 1e3)
            .ok_or_else(|| CapacityError::Peer("no processor time in schedstat".to_owned()))
    }

    /// Returns the resident anonymous memory in bytes.
    ///
    /// # Errors
    /// The process has ended.
    pub fn resident_bytes(&self) -> Result<f64, CapacityError> {
        let kilobytes = status(self.process(), "RssAnon:");
        let ended = || CapacityError::Peer("the gateway has ended".to_owned());
        kilobytes.map(|kb| kb as f64 * 1024.0).ok_or_else(ended)
    }

    /// Returns the number of open file descriptors.
    ///
    /// # Errors
    /// The process has ended.
    pub fn descriptors(&self) -> Result<usize, CapacityError> {
        let path = PathBuf::from(format!("/proc/{}/fd", self.process()));
        Ok(std::fs::read_dir(&path).map_err(CapacityError::file(&path))?.count())
    }

    /// Returns the number of bytes logged since the start.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes.load(Ordering::SeqCst)
    }

    /// Makes the gateway reload its configuration with SIGHUP.
    ///
    /// # Errors
    /// The process has ended.
    pub fn reload(&self) -> Result<(), CapacityError> {
        self.signal(Signal::HUP)
    }

    /// Makes the gateway print its counters with SIGUSR1, and returns one of them.
    ///
    /// # Errors
    /// The process has ended, or does not print the counter.
    pub fn counter(&self, name: &str) -> Result<u64, CapacityError> {
        while self.lines.try_recv().is_ok() {}
        self.signal(Signal::USR1)?;
        let line = self.line_with("counters=")?;
        let key = format!("{name}=");
        let value = line.split(['"', ' ']).find_map(|part| part.strip_prefix(&key));
        let unknown = || CapacityError::Peer(format!("no counter {name} in {line}"));
        value.and_then(|n| n.parse().ok()).ok_or_else(unknown)
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
        let figures = self.metrics()?;
        let known = figures.lines().find_map(|line| line.strip_prefix("edge_lb.engines_known="));
        let unknown = || CapacityError::Peer("its metrics do not say how many engines it knows".to_owned());
        known.and_then(|n| n.parse().ok()).ok_or_else(unknown)
    }

    fn signal(&self, signal: Signal) -> Result<(), CapacityError> {
        let process = Pid::from_raw(self.process() as i32);
        let process = process.ok_or_else(|| CapacityError::Peer("no process".to_owned()))?;
        kill_process(process, signal).map_err(|e| CapacityError::Io(e.into()))
    }

    fn line_with(&self, text: &str) -> Result<String, CapacityError> {
        loop {
            let none = |_| CapacityError::Peer(format!("the gateway logs nothing with {text}"));
            let line = self.lines.recv_timeout(ANSWER_TIMEOUT).map_err(none)?;
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
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Counts the bytes of the log. Forwards only the lines that `wait_for_line` looks for, so that those of requests do
/// not accumulate.
fn read_log(log: ChildStderr, counted: &AtomicU64, lines_sender: &Sender<String>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        counted.fetch_add(line.len() as u64 + LINE_END, Ordering::SeqCst);
        if line.contains("serving") || line.contains("counters=") {
            let _ = lines_sender.send(line);
        }
    }
}

fn address(line: &str, key: &str) -> Result<SocketAddr, CapacityError> {
    let value = line.split_whitespace().find_map(|part| part.strip_prefix(key));
    let none = || CapacityError::Peer(format!("no address behind {key} in: {line}"));
    value.and_then(|value| value.trim_matches('"').parse().ok()).ok_or_else(none)
}

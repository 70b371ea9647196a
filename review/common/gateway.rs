//! A gateway process, started with the command `run` of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use super::http;
use super::record::{stop, Record};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// What the platform tells a gateway, and the folder that it lies in.
pub struct Deployment {
    pub folder: PathBuf,
    pub listen: SocketAddr,
    operator_file: bool,
}

/// A running process of a gateway. It is killed when it is dropped.
pub struct Gateway {
    child: Child,
    pub ops: SocketAddr,
    record: Record,
    name: String,
}

/// Value of a key of the deploy file.
fn deploy_value(key: &str) -> String {
    let text =
        fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| stop(&format!("deploy file: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.map_or_else(
        || stop("the deploy file has no such key"),
        |value| value.trim().trim_matches('"').to_owned(),
    )
}

impl Deployment {
    /// Writes the configuration into the temporary folder of the case. It is the small one of the project's tests with
    /// these entries of the endpoint list, and with these contents of the operator's file.
    pub fn new(entries: &[String], operator_file: Option<&str>) -> Self {
        let folder = PathBuf::from(std::env::var("TMPDIR").unwrap_or_else(|_| stop("TMPDIR is not set")));
        let listen = super::free_address();
        if let Some(text) = operator_file {
            write(&folder.join("operator.toml"), text);
        }
        let template = fs::read_to_string("gateway/tests/common/config.json");
        let template = template.unwrap_or_else(|e| stop(&format!("the project's small configuration: {e}")));
        let text = template.replace("127.0.0.1:0", &listen.to_string()).replace("LIST", &entries.join(","));
        write(&folder.join("config.json"), &text);
        Self { folder, listen, operator_file: operator_file.is_some() }
    }

    /// Starts a process and waits until it takes clients.
    pub fn start(&self, name: &str, record: &Record) -> Gateway {
        let ops = super::free_address();
        let mut run = deploy_value("run");
        if self.operator_file {
            run += &format!(" --config {}", self.folder.join("operator.toml").display());
        }
        run += " --log debug";
        let log =
            File::create(self.folder.join(format!("{name}.log"))).unwrap_or_else(|e| stop(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_CONFIG", self.folder.join("config.json"))
            .env("LB_OPS", ops.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| stop(&format!("{run}: {e}")));
        write(&self.folder.join(format!("{name}.pid")), &child.id().to_string());
        let mut gateway = Gateway { child, ops, record: record.clone(), name: name.to_owned() };
        record.note(name, &format!("started as process {}", gateway.child.id()));
        let began = Instant::now();
        while http::ops(ops, "GET", "/status") != Some(true) {
            if began.elapsed() > Duration::from_secs(6) || gateway.has_ended() {
                stop("the gateway does not start");
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.note(name, "says yes: it takes clients");
        gateway
    }
}

fn write(path: &Path, text: &str) {
    fs::write(path, text).unwrap_or_else(|e| stop(&format!("{}: {e}", path.display())));
}

impl Gateway {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        self.record.note(&self.name, &format!("gets signal {signal}"));
        // SAFETY: the call has no memory effects; the process is this one's child and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Number of sockets that the process holds.
    pub fn sockets(&self) -> usize {
        let Ok(descriptors) = fs::read_dir(format!("/proc/{}/fd", self.child.id())) else { return 0 };
        let target = |entry: fs::DirEntry| fs::read_link(entry.path()).ok();
        let targets = descriptors.flatten().filter_map(target);
        targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

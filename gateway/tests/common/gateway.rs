//! Gateway processes, each with its own configuration.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Engine;

/// A directory that is removed when the last process that uses it is dropped.
struct TempDir(std::path::PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl std::ops::Deref for TempDir {
    type Target = std::path::Path;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

/// A running gateway process. Killed when dropped.
pub struct Gateway {
    child: Child,
    pub pg: SocketAddr,
    pub mysql: Option<SocketAddr>,
    pub ops: Option<SocketAddr>,
    dir: Arc<TempDir>,
    log: Arc<Mutex<String>>,
}

/// Last value of a counter in a log. The key includes the equals sign, as in `evicted=`.
pub fn last_counter(log: &str, key: &str) -> usize {
    let word = log.split_whitespace().rev().find_map(|w| w.split_once(key)).expect(key);
    word.1.parse().unwrap()
}

static DIR_COUNT: AtomicU64 = AtomicU64::new(0);

impl Gateway {
    /// Starts a gateway for these engines, with or without the MySQL front end.
    pub fn start(engines: &[&Engine], mysql: bool) -> Self {
        Self::start_with_coordinator(engines, mysql, None)
    }

    /// Starts a gateway that also reads the endpoint list of a discovery service (setting `coordinator`).
    pub fn start_with_coordinator(engines: &[&Engine], mysql: bool, coordinator: Option<SocketAddr>) -> Self {
        Self::start_with_options(engines, mysql, coordinator, "", None)
    }

    /// Starts a gateway with the contents of an operator's file and a limit on file descriptors.
    pub fn start_with_options(
        engines: &[&Engine],
        mysql: bool,
        coordinator: Option<SocketAddr>,
        operator: &str,
        descriptors: Option<u32>,
    ) -> Self {
        let dir = Self::create_dir(engines, mysql, coordinator, operator);
        Self::launch(dir, ([127, 0, 0, 1], 0).into(), descriptors, false)
    }

    /// Starts a gateway for the engines of these JSON entries, with a changed configuration and debug logs.
    pub fn with_endpoints(
        entries: &str,
        coordinator: Option<SocketAddr>,
        operator: &str,
        descriptors: Option<u32>,
        change: impl Fn(String) -> String,
    ) -> Self {
        let dir = Self::create_dir_with_endpoints(entries, coordinator, operator, change);
        Self::launch(dir, ([127, 0, 0, 1], 0).into(), descriptors, false)
    }

    /// Starts a gateway for the engines of these JSON entries, with the admin interface and without a discovery
    /// service.
    pub fn with_endpoints_and_admin(entries: &str, change: impl Fn(String) -> String) -> Self {
        let dir = Self::create_dir_with_endpoints(entries, None, "", change);
        Self::launch(dir, ([127, 0, 0, 1], 0).into(), None, true)
    }

    /// Starts a gateway for the engines of these JSON entries that receives settings from these control plane servers
    /// and has the admin interface.
    pub fn with_control_plane(
        entries: &str,
        servers: &[SocketAddr],
        change: impl Fn(String) -> String,
    ) -> Self {
        let list = servers.iter().map(|server| format!("\"{server}\"")).collect::<Vec<_>>().join(", ");
        let operator = format!("[control]\nmachines = [{list}]\n");
        let dir = Self::create_dir_with_endpoints(entries, None, &operator, change);
        Self::launch(dir, ([127, 0, 0, 1], 0).into(), None, true)
    }

    fn create_dir_with_endpoints(
        entries: &str,
        coordinator: Option<SocketAddr>,
        operator: &str,
        change: impl Fn(String) -> String,
    ) -> Arc<TempDir> {
        let dir = Self::create_dir(&[], false, coordinator, operator);
        let file = dir.join("config.json");
        let list = |text: String| text.replace("\"endpoints\":[]", &format!("\"endpoints\":[{entries}]"));
        std::fs::write(&file, change(list(std::fs::read_to_string(&file).unwrap()))).unwrap();
        std::fs::write(dir.join("log-level"), "debug").unwrap();
        dir
    }

    /// Directory of the configuration and the socket.
    pub fn path(&self) -> &std::path::Path {
        &self.dir
    }

    /// Creates a directory with a configuration.
    fn create_dir(
        engines: &[&Engine],
        mysql: bool,
        coordinator: Option<SocketAddr>,
        operator: &str,
    ) -> Arc<TempDir> {
        let number = DIR_COUNT.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("wrenhatch-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let list = engines.iter().map(|e| e.entry("Ready")).collect::<Vec<_>>().join(",");
        let mut config = include_str!("config.json").replace("LIST", &list);
        if let Some(address) = coordinator {
            config = config.replace("\"known\":", &format!("\"coordinator\":\"{address}\",\"known\":"));
        }
        std::fs::write(dir.join("config.json"), config).unwrap();
        let mut operator = operator.to_owned();
        if mysql {
            operator += "\n[mysql]\nlisten = \"127.0.0.1:0\"\n\
                login = { user = \"gw\", password = \"secret\" }\n\
                [mysql.users]\nunit = { tenant = \"acme\", password = \"pw\" }\n[mysql.engines]\n";
            for engine in engines {
                operator += &format!("{} = \"{}\"\n", engine.name, engine.mysql);
            }
        }
        std::fs::write(dir.join("operator.toml"), operator).unwrap();
        Arc::new(TempDir(dir))
    }

    /// Starts a gateway for these engines with the MySQL front end and a changed configuration.
    pub fn start_changed(engines: &[&Engine], change: impl Fn(String) -> String) -> Self {
        let dir = Self::create_dir(engines, true, None, "");
        let file = dir.join("config.json");
        std::fs::write(&file, change(std::fs::read_to_string(&file).unwrap())).unwrap();
        Self::launch(dir, ([127, 0, 0, 1], 0).into(), None, false)
    }

    /// Starts a gateway for these engines with the admin interface.
    pub fn start_with_admin(engines: &[&Engine]) -> Self {
        Self::launch(Self::create_dir(engines, false, None, ""), ([127, 0, 0, 1], 0).into(), None, true)
    }

    /// Starts a gateway for these engines with the MySQL front end and the admin interface.
    pub fn start_with_mysql_and_admin(engines: &[&Engine]) -> Self {
        Self::launch(Self::create_dir(engines, true, None, ""), ([127, 0, 0, 1], 0).into(), None, true)
    }

    /// Kills the process and starts it again with the same configuration and an empty temporary directory.
    pub fn restart(self) -> Self {
        let dir = self.dir.clone();
        self.kill();
        let kept = ["config.json", "operator.toml", "log-level"];
        for entry in std::fs::read_dir(&**dir).unwrap() {
            let entry = entry.unwrap();
            if !kept.iter().any(|name| entry.file_name() == *name) {
                std::fs::remove_file(entry.path()).unwrap();
            }
        }
        Self::launch(dir, ([127, 0, 0, 1], 0).into(), None, true)
    }

    /// Starts a process that replaces this one, and waits until it is serving.
    pub fn successor(&self) -> Self {
        Self::launch(self.dir.clone(), self.pg, None, true)
    }

    /// Starts a process that waits for its configuration, which it reads from a pipe.
    pub fn spawn_waiting(entries: &str) -> WaitingGateway {
        let dir = Self::create_dir(&[], false, None, "");
        let file = dir.join("config.json");
        let list = format!("\"endpoints\":[{entries}]");
        let config = std::fs::read_to_string(&file).unwrap().replace("\"endpoints\":[]", &list);
        std::fs::remove_file(&file).unwrap();
        assert!(Command::new("mkfifo").arg(&file).status().unwrap().success());
        let child = Self::command(&dir, ([127, 0, 0, 1], 0).into(), None, false).spawn().unwrap();
        // Opening the pipe blocks until the process opens it for reading.
        let pipe = std::fs::File::options().write(true).open(&file).unwrap();
        // A reload reads the configuration from a regular file.
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, &config).unwrap();
        WaitingGateway { child, pipe, config, dir }
    }

    fn launch(dir: Arc<TempDir>, listen: SocketAddr, descriptors: Option<u32>, admin: bool) -> Self {
        let child = Self::command(&dir, listen, descriptors, admin).spawn().unwrap();
        Self::wait_until_serving(child, dir)
    }

    fn command(dir: &TempDir, listen: SocketAddr, descriptors: Option<u32>, admin: bool) -> Command {
        let program = env!("CARGO_BIN_EXE_wrenhatch");
        let mut command = match descriptors {
            None => Command::new(program),
            Some(n) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", &format!("ulimit -n {n}; exec \"$0\" \"$@\""), program]);
                shell
            }
        };
        command.arg("serve").env("LB_CONFIG", dir.join("config.json")).env("LB_NAME", "t");
        command.env("TMPDIR", &**dir).env("LB_OPS", if admin { "127.0.0.1:0" } else { "" });
        command.env("LB_LISTEN", listen.to_string()).stderr(Stdio::piped()).stdout(Stdio::null());
        command.arg("--config").arg(dir.join("operator.toml"));
        if let Ok(level) = std::fs::read_to_string(dir.join("log-level")) {
            command.arg("--log").arg(level);
        }
        command
    }

    /// Waits until the process is serving.
    fn wait_until_serving(mut child: Child, dir: Arc<TempDir>) -> Self {
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let serving = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|l| l.contains("serving"))
            .expect("the gateway has not started to serve");
        let address = |key: &str| {
            let word = serving.split_whitespace().find_map(|w| w.strip_prefix(key)).unwrap();
            word.parse::<SocketAddr>().ok()
        };
        let (pg, mysql, ops) = (address("listen=").unwrap(), address("mysql="), address("ops="));
        let log = Arc::new(Mutex::new(String::new()));
        let log_writer = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                log_writer.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self { child, pg, mysql, ops, dir, log }
    }

    /// Sends a request with this method and path to the admin interface. Returns the status and the body.
    pub fn call(&self, line: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.ops.unwrap()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream.write_all(format!("{line} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
    }

    /// Value of a metric of the admin interface.
    pub fn metric(&self, name: &str) -> u64 {
        let (status, text) = self.call("GET /status/metrics");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|l| l.strip_prefix(&format!("edge_lb.{name}=")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Kills the process.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Path of the Unix socket to which a successor connects.
    pub fn socket(&self) -> std::path::PathBuf {
        self.dir.join("wrenhatch-t.sock")
    }

    /// Path of the file in which the processes of the gateway reserve statement ids.
    pub fn statement_id_file(&self) -> std::path::PathBuf {
        self.dir.join("wrenhatch-t.statement-ids")
    }

    /// Changes the configuration file and sends SIGHUP.
    pub fn reconfigure(&self, change: impl Fn(String) -> String) {
        let file = self.dir.join("config.json");
        std::fs::write(&file, change(std::fs::read_to_string(&file).unwrap())).unwrap();
        self.signal("-HUP");
    }

    /// Stops the process while `during` runs. The process receives all input that arrives meanwhile in its next turn.
    pub fn while_paused<T>(&self, during: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        self.await_stopped();
        let result = during();
        self.signal("-CONT");
        result
    }

    /// Waits until the process has stopped, which can be some time after the signal was sent.
    fn await_stopped(&self) {
        let path = format!("/proc/{}/stat", self.child.id());
        let began = Instant::now();
        loop {
            // proc(5): the state follows the name in parentheses, which can itself contain parentheses.
            let stat = std::fs::read_to_string(&path).unwrap();
            let state = stat.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
            if state == Some('T') {
                return;
            }
            assert!(began.elapsed() < Duration::from_secs(60), "the process has not stopped: {stat}");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Log so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Waits until the log contains this text.
    pub fn wait_for_log(&self, text: &str) {
        let began = Instant::now();
        while !self.log.lock().unwrap().contains(text) {
            assert!(began.elapsed() < Duration::from_secs(60), "no {text} in the log");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Number of turns of the event loop, from the counters logged on SIGUSR1.
    pub fn turns(&self) -> u64 {
        let before = self.log.lock().unwrap().len();
        self.signal("-USR1");
        let began = Instant::now();
        loop {
            let new = self.log.lock().unwrap().get(before..).unwrap_or_default().to_owned();
            if new.contains("turns=") && new.ends_with('\n') {
                return last_counter(&new, "turns=") as u64;
            }
            assert!(began.elapsed() < Duration::from_secs(60), "the process has not logged its counters");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends SIGTERM and waits for the exit. Returns the exit code and the log.
    pub fn end(self) -> (Option<i32>, String) {
        self.terminate();
        self.wait()
    }

    /// Waits for the exit for a limited time. Returns the exit code, or `None` after a signal.
    pub fn wait_within(mut self, limit: Duration) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(began.elapsed() < limit, "the process has not ended:\n{}", self.log());
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits for the exit. Returns the exit code, or `None` after a signal, and the log.
    pub fn wait(mut self) -> (Option<i32>, String) {
        let code = self.child.wait().unwrap().code();
        thread::sleep(Duration::from_millis(100));
        let log = self.log.lock().unwrap().clone();
        (code, log)
    }

    /// Maximum number of clients with the 256 sockets of the configuration.
    pub fn max_clients(&self) -> usize {
        256 / 3 + 16
    }

    pub fn mysql(&self) -> SocketAddr {
        self.mysql.unwrap()
    }
}

/// A gateway process that waits for its configuration.
pub struct WaitingGateway {
    child: Child,
    pipe: std::fs::File,
    config: String,
    dir: Arc<TempDir>,
}

impl WaitingGateway {
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Sends the configuration and waits until the process is serving.
    pub fn configure(mut self) -> Gateway {
        self.pipe.write_all(self.config.as_bytes()).unwrap();
        drop(self.pipe);
        Gateway::wait_until_serving(self.child, self.dir)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

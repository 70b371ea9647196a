//! The gateways of a run over loopback, as processes of their own or as threads of host processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::host::{GATEWAY_DESCRIPTORS, GatewayCounts, configuration_file, thread_name};
use crate::hollow::bounds::{Bounds, MAX_DESCRIPTORS, processor_ns, resident_bytes};
use crate::hollow::error::HollowError;
use crate::hollow::fleet::FleetSize;
use crate::hollow::settings;

/// Maximum duration of the shutdown after SIGTERM.
const END_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks for the end of a process.
const END_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Process layout of the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayMode {
    /// A `wrenhatch serve` process for each gateway.
    Real,
    /// A thread for each gateway.
    Hollow {
        /// Number of processes that host the threads.
        processes: usize,
    },
}

/// Paths of the programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The `wrenhatch` program.
    pub gateway: PathBuf,
    /// The `wrenhatch-lab` program.
    pub lab: PathBuf,
}

impl Programs {
    /// Returns the current program and the gateway in the same folder.
    ///
    /// # Errors
    /// The path of the current program is unknown.
    pub fn next_to_current_exe() -> Result<Self, HollowError> {
        let lab = std::env::current_exe()?;
        Ok(Self { gateway: lab.with_file_name("wrenhatch"), lab })
    }
}

/// Running gateways. Dropping kills their processes and removes their folder.
pub struct Gateways {
    mode: GatewayMode,
    folder: PathBuf,
    children: Vec<Child>,
    /// Process id and thread id of each gateway.
    threads: Vec<(u32, u32)>,
}

impl Gateways {
    /// Writes the configurations and starts the gateways of a fleet.
    ///
    /// # Errors
    /// A bound is exceeded, a file can't be written, or a program can't be started.
    pub fn start(
        programs: &Programs,
        mode: GatewayMode,
        size: FleetSize,
        seed: u64,
        coordinator: SocketAddr,
    ) -> Result<Self, HollowError> {
        let kind = if mode == GatewayMode::Real { "real" } else { "hollow" };
        let folder = std::env::temp_dir().join(format!("wrenhatch-{kind}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| HollowError::File(folder.clone(), e))?;
        let mut gateways = Self { mode, folder, children: Vec::new(), threads: Vec::new() };
        for gateway in 0..size.gateways {
            let path = gateways.folder.join(configuration_file(gateway));
            let text = settings::configuration(size, gateway, seed, coordinator).to_string();
            std::fs::write(&path, text).map_err(|e| HollowError::File(path, e))?;
        }
        match mode {
            GatewayMode::Real => gateways.start_real(programs, size.gateways)?,
            GatewayMode::Hollow { processes } => gateways.start_hollow(programs, size.gateways, processes)?,
        }
        Ok(gateways)
    }

    fn start_real(&mut self, programs: &Programs, count: usize) -> Result<(), HollowError> {
        Bounds::check_processes(count as u64 + 1)?;
        for gateway in 0..count {
            let log = self.folder.join(output_file(gateway));
            let mut command = Command::new(&programs.gateway);
            command.arg("serve").env("LB_CONFIG", self.folder.join(configuration_file(gateway)));
            command.env_remove("LB_NAME").env_remove("LB_LISTEN").env_remove("LB_OPS");
            command.stderr(create(&log)?).stdout(Stdio::null()).stdin(Stdio::null());
            self.children.push(command.spawn().map_err(|e| HollowError::File(programs.gateway.clone(), e))?);
        }
        Ok(())
    }

    fn start_hollow(
        &mut self,
        programs: &Programs,
        count: usize,
        processes: usize,
    ) -> Result<(), HollowError> {
        Bounds::check_processes(processes as u64 + 1)?;
        let per_process = count.div_ceil(processes.max(1));
        if per_process as u64 * GATEWAY_DESCRIPTORS > MAX_DESCRIPTORS {
            return Bounds::check_descriptors(per_process as u64 * GATEWAY_DESCRIPTORS);
        }
        for (process, first) in (0..count).step_by(per_process.max(1)).enumerate() {
            let log = self.folder.join(output_file(process));
            let mut command = Command::new(&programs.lab);
            command.args(["hollow", "host", "--folder"]).arg(&self.folder);
            command.args([
                "--first",
                &first.to_string(),
                "--count",
                &per_process.min(count - first).to_string(),
            ]);
            command.stdout(create(&log)?).stdin(Stdio::null());
            self.children.push(command.spawn().map_err(|e| HollowError::File(programs.lab.clone(), e))?);
        }
        Ok(())
    }

    /// Process ids of all gateways or hosts.
    pub fn processes(&self) -> Vec<u32> {
        self.children.iter().map(Child::id).collect()
    }

    /// Checks that all processes are running.
    ///
    /// # Errors
    /// A process has ended.
    pub fn check(&mut self) -> Result<(), HollowError> {
        for child in &mut self.children {
            if let Some(status) = child.try_wait()? {
                return Err(HollowError::GatewayFailure(format!(
                    "gateway process {} exited: {status}",
                    child.id()
                )));
            }
        }
        Ok(())
    }

    /// Finds the thread of each gateway. All gateways must be running.
    ///
    /// # Errors
    /// A gateway has no thread.
    pub fn find_threads(&mut self, count: usize) -> Result<(), HollowError> {
        self.threads = match self.mode {
            GatewayMode::Real => self.processes().into_iter().map(|process| (process, process)).collect(),
            GatewayMode::Hollow { .. } => {
                let names: BTreeMap<String, (u32, u32)> =
                    self.processes().into_iter().flat_map(named_threads).collect();
                (0..count).filter_map(|gateway| names.get(&thread_name(gateway)).copied()).collect()
            }
        };
        if self.threads.len() != count {
            return Err(HollowError::GatewayFailure(format!(
                "{} of {count} gateways are running",
                self.threads.len()
            )));
        }
        Ok(())
    }

    /// Processor time used by each gateway, in nanoseconds, 0 for one that has ended. Empty before
    /// [`Self::find_threads`].
    pub fn processor_ns(&self) -> Vec<u64> {
        self.threads.iter().map(|(process, thread)| processor_ns(*process, *thread).unwrap_or(0)).collect()
    }

    /// Resident anonymous memory of all processes together, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.processes().into_iter().filter_map(resident_bytes).sum()
    }

    /// Stops all gateways with SIGTERM and returns the sum of their counters.
    ///
    /// # Errors
    /// A gateway does not end in time or prints no counters.
    pub fn end(mut self) -> Result<GatewayCounts, HollowError> {
        for process in self.processes() {
            Command::new("kill").args(["-TERM", &process.to_string()]).status()?;
        }
        let started = Instant::now();
        for child in &mut self.children {
            while child.try_wait()?.is_none() {
                if started.elapsed() > END_TIMEOUT {
                    return Err(HollowError::GatewayFailure(format!(
                        "gateway process {} did not end after SIGTERM",
                        child.id()
                    )));
                }
                std::thread::sleep(END_POLL_INTERVAL);
            }
        }
        let mut sum = GatewayCounts::default();
        for index in 0..self.children.len() {
            let path = self.folder.join(output_file(index));
            let text = std::fs::read_to_string(&path).map_err(|e| HollowError::File(path.clone(), e))?;
            sum = match self.mode {
                GatewayMode::Real => sum.plus(parse_counters(&text).ok_or_else(|| missing_counters(&path))?),
                GatewayMode::Hollow { .. } => text.lines().try_fold(sum, |sum, line| {
                    let counts =
                        serde_json::from_str(line).map_err(|e| HollowError::Json(path.clone(), e))?;
                    Ok::<_, HollowError>(sum.plus(counts))
                })?,
            };
        }
        Ok(sum)
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn output_file(index: usize) -> String {
    format!("output-{index}")
}

fn create(path: &Path) -> Result<File, HollowError> {
    File::create(path).map_err(|e| HollowError::File(path.to_owned(), e))
}

fn missing_counters(path: &Path) -> HollowError {
    HollowError::GatewayFailure(format!("{}: no counters in the gateway's log", path.display()))
}

/// Parses the counters that a gateway logs at shutdown.
fn parse_counters(log: &str) -> Option<GatewayCounts> {
    let line = log.lines().rfind(|line| line.contains("counters=") && line.contains("ended"))?;
    let number = |key: &str| {
        let value = line.split_whitespace().find_map(|part| part.strip_prefix(key)?.strip_prefix('='))?;
        value.parse().ok()
    };
    Some(GatewayCounts {
        list_connects: number("list_connects")?,
        list_events: number("list_events")?,
        engine_connects: number("engine_connects")?,
    })
}

/// Names of the threads of a process, with process id and thread id.
fn named_threads(process: u32) -> Vec<(String, (u32, u32))> {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{process}/task")) else { return Vec::new() };
    let named = |task: std::fs::DirEntry| {
        let thread = task.file_name().to_str()?.parse().ok()?;
        let name = std::fs::read_to_string(task.path().join("comm")).ok()?;
        Some((name.trim_end().to_owned(), (process, thread)))
    };
    tasks.flatten().filter_map(named).collect()
}

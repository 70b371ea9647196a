//! Measures the processor time of the gateway's core in memory, on simulated time, with engines that answer after a
//! fixed time.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rustix::time::{ClockId, clock_gettime};
use workload_manager::*;
use wrenhatch::core::{AttemptId, Command, Core, Input, NewRequest};

use super::error::CapacityError;
use super::site::Site;

/// Statement rate of all simulated clients together, about one gateway's share at the target size.
const STATEMENTS_PER_SECOND: f64 = 2_364.0;
/// Deadline of a request after its arrival, in microseconds.
const CLIENT_TIMEOUT_US: u64 = 3_000_000;
/// Number of zones that the engines are distributed over.
const ZONES: usize = 5;
/// Seed of the core's random number generator.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;
/// Simulated time between two events of the endpoint list, in microseconds.
const CHANGE_INTERVAL_US: u64 = 10_000;

/// An attempt in flight and the time of its response.
struct InFlight {
    response_us: u64,
    attempt: AttemptId,
}

/// A core driven by a closed loop of simulated clients.
pub struct CoreSimulation {
    core: Core,
    now_us: u64,
    engines: usize,
    service_us: u64,
    in_flight: VecDeque<InFlight>,
    request_count: u64,
    /// Requests answered with all rows.
    pub served: u64,
    /// Requests rejected or failed.
    pub failed: u64,
    commands: Vec<Command>,
}

/// Returns the processor time of this thread in microseconds.
pub fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Returns the settings of a site as the gateway reads them from its configuration file.
fn settings(site: &Site) -> Result<Settings, CapacityError> {
    let name = format!("wrenhatch-decisions-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, site.config_json()).map_err(CapacityError::file(&path))?;
    let config = wrenhatch::config::from_file(&path.to_string_lossy());
    std::fs::remove_file(&path).map_err(CapacityError::file(&path))?;
    Ok(config?.settings)
}

impl CoreSimulation {
    /// Creates a core with `engines` engines and `open` requests in flight.
    ///
    /// # Errors
    /// The settings are rejected, or their temporary file can't be written.
    pub fn new(engines: usize, open: usize) -> Result<Self, CapacityError> {
        let site = Site::new(vec![SocketAddr::from(([127, 0, 0, 1], 1)); 1]);
        let core = Core::new(settings(&site)?, SEED)?;
        let service_us = (open as f64 / STATEMENTS_PER_SECOND * 1e6) as u64;
        let mut simulation = Self {
            core,
            now_us: 0,
            engines,
            service_us,
            in_flight: VecDeque::new(),
            request_count: 0,
            served: 0,
            failed: 0,
            commands: Vec::new(),
        };
        simulation.apply_full_list();
        let gap_us = (service_us / open.max(1) as u64).max(1);
        for _ in 0..open {
            simulation.now_us += gap_us;
            let request = simulation.new_request();
            simulation.turn(vec![request]);
        }
        Ok(simulation)
    }

    fn entry(&self, engine: usize, state: EndpointState) -> EndpointEntry {
        EndpointEntry {
            engine: EngineId(engine as u32),
            zone: ZoneId(engine % ZONES),
            machine_type: MachineTypeId(0),
            cell: 0,
            state,
            started_at: None,
        }
    }

    fn new_request(&mut self) -> Input {
        self.request_count += 1;
        let request = NewRequest {
            class: ClassId(0),
            tenant: Some(TenantId(0)),
            deadline_us: self.now_us + CLIENT_TIMEOUT_US,
            estimated_work: Some(0.002),
            estimated_memory_mb: None,
            table_group: Some(TableGroupId(1)),
            key: None,
            is_retry: false,
        };
        Input::RequestArrived { id: RequestId(self.request_count), request }
    }

    /// Runs one turn of the core and schedules the responses of the attempts that it starts.
    fn turn(&mut self, mut inputs: Vec<Input>) {
        let mut commands = std::mem::take(&mut self.commands);
        self.core.turn(self.now_us, &mut inputs, &mut commands);
        for command in commands.drain(..) {
            match command {
                Command::StartAttempt { attempt, .. } => {
                    let response_us = self.now_us + self.service_us;
                    self.in_flight.push_back(InFlight { response_us, attempt });
                }
                Command::Serve(..) => self.served += 1,
                Command::Reject { .. } | Command::Fail(_) => self.failed += 1,
                Command::SetPriority { .. }
                | Command::CancelAttempt(..)
                | Command::ClaimLease { .. }
                | Command::GrantLease { .. } => {}
            }
        }
        self.commands = commands;
    }

    /// Runs the core's timers that are due before `until_us` and returns their number.
    fn run_timers_until(&mut self, until_us: u64) -> u64 {
        let mut ticks = 0;
        while let Some(due_us) = self.core.next_timer_us().filter(|due_us| *due_us < until_us) {
            self.now_us = self.now_us.max(due_us);
            self.turn(Vec::new());
            ticks += 1;
        }
        self.now_us = self.now_us.max(until_us);
        ticks
    }

    /// Ends the oldest attempt and sends the next request of its client.
    fn run_statement(&mut self) {
        let Some(oldest) = self.in_flight.pop_front() else { return };
        self.run_timers_until(oldest.response_us);
        let report = LoadReport { queued: Some(0.0), ..LoadReport::default() };
        let ended = Input::AttemptEnded {
            attempt: oldest.attempt,
            outcome: Outcome::Success,
            load_report: Some(report),
        };
        let request = self.new_request();
        self.turn(vec![ended, request]);
    }

    /// Runs statements and returns the mean processor time per statement in microseconds, including the control ticks
    /// between them.
    pub fn run_statements(&mut self, count: u64) -> f64 {
        let began_us = thread_cpu_us();
        (0..count).for_each(|_| self.run_statement());
        (thread_cpu_us() - began_us) / count as f64
    }

    /// Runs control ticks with all requests in flight and returns the mean processor time per tick in microseconds.
    pub fn run_control_ticks(&mut self, count: u64) -> f64 {
        let (mut ticks, mut cpu_us) = (0, 0.0);
        while ticks < count {
            let Some(timer_us) = self.core.next_timer_us() else { break };
            let response_us = self.in_flight.front().map_or(u64::MAX, |r| r.response_us);
            if response_us <= timer_us {
                self.run_statement();
                continue;
            }
            let began_us = thread_cpu_us();
            ticks += self.run_timers_until(timer_us + 1);
            cpu_us += thread_cpu_us() - began_us;
        }
        cpu_us / ticks.max(1) as f64
    }

    /// Applies changes of one engine each, with requests in flight, and returns the mean processor time per change in
    /// microseconds.
    pub fn run_changes(&mut self, count: u64) -> f64 {
        let mut cpu_us = 0.0;
        for change in 0..count {
            self.advance(CHANGE_INTERVAL_US);
            let engine = (change / 2) as usize % self.engines;
            let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
            let list = Input::EndpointList {
                mode: EndpointListMode::Delta,
                entries: vec![self.entry(engine, state)],
            };
            let began_us = thread_cpu_us();
            self.turn(vec![list]);
            cpu_us += thread_cpu_us() - began_us;
        }
        cpu_us / count as f64
    }

    /// Applies full endpoint lists and returns the mean processor time per list in microseconds.
    pub fn run_lists(&mut self, count: u64) -> f64 {
        let mut cpu_us = 0.0;
        for _ in 0..count {
            self.advance(CHANGE_INTERVAL_US);
            cpu_us += self.apply_full_list();
        }
        cpu_us / count as f64
    }

    /// Applies a list of all engines and returns its processor time in microseconds.
    fn apply_full_list(&mut self) -> f64 {
        let entries = (0..self.engines).map(|engine| self.entry(engine, EndpointState::Ready)).collect();
        let list = vec![Input::EndpointList { mode: EndpointListMode::Full, entries }];
        let began_us = thread_cpu_us();
        self.turn(list);
        thread_cpu_us() - began_us
    }

    /// Advances the simulated time and runs the statements that end meanwhile.
    fn advance(&mut self, span_us: u64) {
        let until_us = self.now_us + span_us;
        while self.in_flight.front().is_some_and(|r| r.response_us <= until_us) {
            self.run_statement();
        }
        self.run_timers_until(until_us);
    }
}

//! Decisions alone: the gateway's core in memory, on simulated time, with engines that answer after a fixed time.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rustix::time::{ClockId, clock_gettime};
use workload_manager::*;
use wrenhatch::core::{AttemptId, Command, Core, Input, NewRequest};

use super::error::CapacityError;
use super::site::Site;

/// Statements a second that the loop in memory makes: about what a gateway gets at the operators' size.
const STATEMENTS_PER_SECOND: f64 = 2_364.0;
/// How long clients wait, in microseconds.
const CLIENT_TIMEOUT_US: u64 = 3_000_000;
/// Zones of the site.
const ZONES: usize = 5;
/// Seed of the core's random numbers.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;
/// Simulated time between two changes of the list, in microseconds.
const CHANGE_INTERVAL_US: u64 = 10_000;

/// An attempt that its engine answers at a time.
struct Running {
    done_us: u64,
    attempt: AttemptId,
}

/// A core with a closed loop of requests.
pub struct Decisions {
    core: Core,
    now_us: u64,
    engines: usize,
    service_us: u64,
    running: VecDeque<Running>,
    requests: u64,
    /// Requests that were answered with all rows.
    pub served: u64,
    /// Requests that were not.
    pub unserved: u64,
    commands: Vec<Command>,
}

/// Processor time of this thread, in microseconds.
pub fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// The settings that a gateway at this site reads from its file.
fn settings(site: &Site) -> Result<Settings, CapacityError> {
    let name = format!("wrenhatch-decisions-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, site.configuration()).map_err(CapacityError::file(&path))?;
    let read = wrenhatch::config::from_file(&path.to_string_lossy());
    std::fs::remove_file(&path).map_err(CapacityError::file(&path))?;
    Ok(read?.settings)
}

impl Decisions {
    /// A core that knows so many engines and has as many requests open as it is to have at once.
    ///
    /// # Errors
    /// The settings do not hold.
    pub fn new(engines: usize, open: usize) -> Result<Self, CapacityError> {
        let site = Site::new(vec![SocketAddr::from(([127, 0, 0, 1], 1)); 1]);
        let core = Core::new(settings(&site)?, SEED)?;
        let service_us = (open as f64 / STATEMENTS_PER_SECOND * 1e6) as u64;
        let mut decisions = Self {
            core,
            now_us: 0,
            engines,
            service_us,
            running: VecDeque::new(),
            requests: 0,
            served: 0,
            unserved: 0,
            commands: Vec::new(),
        };
        decisions.whole_list();
        let gap_us = (service_us / open.max(1) as u64).max(1);
        for _ in 0..open {
            decisions.now_us += gap_us;
            let request = decisions.new_request();
            decisions.turn(vec![request]);
        }
        Ok(decisions)
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
        self.requests += 1;
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
        Input::RequestArrived { id: RequestId(self.requests), request }
    }

    /// One turn of the core; attempts that start are answered later.
    fn turn(&mut self, mut inputs: Vec<Input>) {
        let mut commands = std::mem::take(&mut self.commands);
        self.core.turn(self.now_us, &mut inputs, &mut commands);
        for command in commands.drain(..) {
            match command {
                Command::StartAttempt { attempt, .. } => {
                    let done_us = self.now_us + self.service_us;
                    self.running.push_back(Running { done_us, attempt });
                }
                Command::Serve(..) => self.served += 1,
                Command::Reject { .. } | Command::Fail(_) => self.unserved += 1,
                Command::SetPriority { .. }
                | Command::CancelAttempt(..)
                | Command::ClaimLease { .. }
                | Command::GrantLease { .. } => {}
            }
        }
        self.commands = commands;
    }

    /// Turns for the core's own timers up to a time; how many.
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

    /// The oldest attempt ends, and its client sends the next request.
    fn statement(&mut self) {
        let Some(next) = self.running.pop_front() else { return };
        self.run_timers_until(next.done_us);
        let report = LoadReport { queued: Some(0.0), ..LoadReport::default() };
        let ended = Input::AttemptEnded {
            attempt: next.attempt,
            outcome: Outcome::Success,
            load_report: Some(report),
        };
        let request = self.new_request();
        self.turn(vec![ended, request]);
    }

    /// So many statements; processor time of each, control ticks between them included.
    pub fn statements(&mut self, count: u64) -> f64 {
        let began_us = thread_cpu_us();
        (0..count).for_each(|_| self.statement());
        (thread_cpu_us() - began_us) / count as f64
    }

    /// So many control ticks with all requests in flight and nothing else; processor time of each.
    pub fn control_ticks(&mut self, count: u64) -> f64 {
        let (mut seen, mut cpu_us) = (0, 0.0);
        while seen < count {
            let Some(next) = self.core.next_timer_us() else { break };
            let due = self.running.front().map_or(u64::MAX, |r| r.done_us);
            if due <= next {
                self.statement();
                continue;
            }
            let began_us = thread_cpu_us();
            seen += self.run_timers_until(next + 1);
            cpu_us += thread_cpu_us() - began_us;
        }
        cpu_us / seen.max(1) as f64
    }

    /// So many changes of one engine, each beside the requests that are open; processor time of each.
    pub fn changes(&mut self, count: u64) -> f64 {
        let mut cpu_us = 0.0;
        for change in 0..count {
            self.pass(CHANGE_INTERVAL_US);
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

    /// So many whole lists; processor time of each.
    pub fn lists(&mut self, count: u64) -> f64 {
        let mut cpu_us = 0.0;
        for _ in 0..count {
            self.pass(CHANGE_INTERVAL_US);
            cpu_us += self.whole_list();
        }
        cpu_us / count as f64
    }

    fn whole_list(&mut self) -> f64 {
        let entries = (0..self.engines).map(|engine| self.entry(engine, EndpointState::Ready)).collect();
        let list = vec![Input::EndpointList { mode: EndpointListMode::Full, entries }];
        let began_us = thread_cpu_us();
        self.turn(list);
        thread_cpu_us() - began_us
    }

    /// Time passes, with the statements that end in it.
    fn pass(&mut self, span_us: u64) {
        let until_us = self.now_us + span_us;
        while self.running.front().is_some_and(|r| r.done_us <= until_us) {
            self.statement();
        }
        self.run_timers_until(until_us);
    }
}

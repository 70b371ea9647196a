//! An instance: a workload manager for one gateway of the simulator, with tables that map names to ids.

use std::panic::{AssertUnwindSafe, catch_unwind};

use workload_manager::{
    Action, ClassId, EndpointEntry, EngineId, Event, KeyId, MachineTypeId, Request, RequestId, SettingsError,
    TableGroupId, TenantId, WorkloadManager, ZoneId,
};

use crate::error::HostError;
use crate::names::NameTable;
use crate::translate::{self, LoadReportFields, SettingsNames};
use crate::wire::{self, Element, Step};

/// A workload manager and its name tables. Instances share no state: each assigns ids to names in the order
/// in which it receives them.
pub struct Instance {
    name: String,
    manager: WorkloadManager,
    names: SettingsNames,
    engines: NameTable,
    order_keys: NameTable,
    load_report_fields: LoadReportFields,
}

impl Instance {
    /// Creates an instance whose random numbers are seeded with `seed`.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(name: String, env: &wire::Env, seed: u64) -> Result<Self, SettingsError> {
        let (settings, names) = translate::settings(env);
        Ok(Self {
            name,
            manager: WorkloadManager::new(settings, seed)?,
            names,
            engines: NameTable::default(),
            order_keys: NameTable::default(),
            load_report_fields: LoadReportFields::new(&env.domain),
        })
    }

    /// Passes an event to the workload manager and appends its actions, or only `bail-out` after a panic, to
    /// `steps`.
    pub fn on_event(&mut self, now: f64, event: &Event, steps: &mut Vec<Step>) {
        let mut actions = Vec::new();
        if catch_unwind(AssertUnwindSafe(|| self.manager.on_event(now, event, &mut actions))).is_err() {
            let text = "the decision module panicked".to_owned();
            steps.push(Step::BailOut { who: self.name.clone(), text });
            return;
        }
        steps.extend(actions.into_iter().map(|action| self.step(action)));
    }

    /// Id of an engine. A new name gets the next id.
    pub fn engine(&mut self, name: &str) -> EngineId {
        EngineId(u32::try_from(self.engines.number(name)).unwrap_or(u32::MAX))
    }

    /// Translates an entry of the endpoint list.
    ///
    /// # Errors
    /// The wire protocol does not define the state.
    pub fn endpoint(&mut self, element: &Element, event: usize) -> Result<EndpointEntry, HostError> {
        Ok(EndpointEntry {
            engine: self.engine(&element.engine),
            zone: ZoneId(self.names.zones.number(&element.failure_domain)),
            machine_type: MachineTypeId(self.names.machine_types.number(&element.generation_hw)),
            cell: element.group,
            state: translate::endpoint_state(element.state, event)?,
            started_at: (element.since_s > 0.0).then_some(element.since_s),
        })
    }

    /// Translates a request.
    ///
    /// # Errors
    /// The class is not in the settings.
    pub fn request(&mut self, item: wire::WorkItem, event: usize) -> Result<Request, HostError> {
        let Some(class) = self.names.classes.get(&item.band) else {
            return Err(HostError::UnknownClass { event, class: item.band });
        };
        let tenant = item.party.as_ref().and_then(|party| party.as_str());
        Ok(Request {
            id: RequestId(item.job),
            class: ClassId(class),
            tenant: tenant.map(|name| TenantId(self.names.tenants.number(name))),
            key: item.relation.map(|name| KeyId(self.order_keys.number(&name) as u64)),
            deadline: item.valid_until_s,
            estimated_work: item.estimate_s,
            estimated_memory_mb: item.need_mb.filter(|mb| *mb > 0.0),
            table_group: item.tables.map(|group| TableGroupId(group as u64)),
            is_retry: item.retry,
        })
    }

    /// Translates the end of an attempt.
    pub fn attempt_ended(&mut self, end: &wire::ReportBack) -> Event {
        Event::AttemptEnded {
            request: RequestId(end.job),
            attempt: end.attempt,
            engine: self.engine(&end.engine),
            outcome: translate::outcome(end.how),
            elapsed: end.rtt_s,
            request_settled: end.settled,
            may_still_run_for: 0.0,
            cost: translate::query_cost(end.used_up),
            load_report: self.load_report_fields.read(end.feedback.as_ref()),
        }
    }

    /// Translates the result of a health check.
    pub fn health_checked(&mut self, check: &wire::CheckResult) -> Event {
        Event::HealthChecked {
            engine: self.engine(&check.engine),
            outcome: translate::outcome(check.how),
            elapsed: check.rtt_s,
            load_report: self.load_report_fields.read(check.feedback.as_ref()),
        }
    }

    fn step(&self, action: Action) -> Step {
        let who = self.name.clone();
        let engine_name = |engine: EngineId| self.engines.name(engine.0 as usize).to_owned();
        match action {
            Action::SetAttemptTerms { request, memory_mb, priority } => {
                Step::Allot { who, job: request.0, memory: memory_mb, priority }
            }
            Action::Forward { request, engine, timeout } => {
                Step::Route { who, job: request.0, engine: engine_name(engine), max_wait_s: timeout }
            }
            Action::CancelAttempt { request, attempt } => Step::StopAttempt { who, job: request.0, attempt },
            Action::Reject { request, retry_after } => {
                Step::OverloadReply { who, job: request.0, wait_s: retry_after }
            }
            Action::Fail(request) => Step::RespondError { who, job: request.0 },
            Action::SetTimer { delay, token, .. } => Step::Remind { who, delay_s: delay, nonce: token },
            Action::CheckHealth(engine) => Step::Touch { who, engine: engine_name(engine) },
            Action::WatchEndpointList => Step::Observe { who, active: true },
        }
    }
}

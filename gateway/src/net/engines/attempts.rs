//! Start and end of attempts, and recovery of an attempt whose connection ends first.

use workload_manager::{EngineId, LoadReport, Outcome};
use wrenhatch_sessions::memory_budget::MemoryPurpose;

use super::{Attempt, AttemptId, ConnectionEnd, EngineProtocol, Execution, Job, Link, ProtocolState};
use crate::core::{AttemptLimits, AttemptTerms, Input};
use crate::engine::{http, mysql};
use crate::front::ExecutionMode;
use crate::front::fields::field_name;
use crate::mysql_protocol::Parameter;
use crate::net::{OpenClientRequest, Server};

/// Maximum number of further calls if the response to a call was unusable or missing.
pub(super) const MAX_CALL_RETRIES: u32 = 4;

/// Action taken when the connection of an attempt ends before the attempt.
enum NextStep {
    /// Write a call over another connection: the first call if it was not written yet, or else one that asks again for
    /// the missing response.
    RepeatCall,
    /// End the attempt. No part of it was executed.
    ConnectFailed,
    /// Give up the attempt. The engine may still run it.
    Lost,
    /// Cancel the attempt, as the engine may still run it.
    Cancel,
    /// Do nothing. The cancellation in progress determines the end of the attempt.
    AwaitCancellation,
}

impl Server {
    /// Starts an attempt over an idle connection to its engine, or over a new one if none is idle. If the client has
    /// left or there is no connection, the attempt ends at once.
    pub(in crate::net) fn start_attempt(
        &mut self,
        id: AttemptId,
        engine: EngineId,
        terms: AttemptTerms,
        limits: AttemptLimits,
    ) {
        let AttemptLimits { deadline_us, send_deadline_us, has_order_key } = limits;
        let Some(request) = self.requests.open.get(&id.request) else {
            return self.attempt_not_sent(id, Outcome::NeverSent);
        };
        let max_ms = (deadline_us.saturating_sub(self.time.now_us) / 1000).max(1);
        let class = self.names.classes[request.class.0].as_str();
        let (execution, protocol) = match &request.mode {
            ExecutionMode::Simple => (http_execution(request, class, max_ms, terms), EngineProtocol::Http),
            ExecutionMode::Query | ExecutionMode::Execute { .. } => {
                (Execution::MySql { stmt: Some(mysql_stmt(request, class, max_ms)) }, EngineProtocol::MySql)
            }
        };
        let query_id = request.query_id.clone();
        let prepared =
            matches!(request.mode, ExecutionMode::Execute { .. }).then(|| request.statement.clone());
        match self.acquire_connection(engine, Job::Attempt(id), protocol, prepared.as_deref()) {
            Ok(slot) => {
                let attempt = Attempt {
                    engine,
                    slot,
                    execution,
                    query_id,
                    send_deadline_us,
                    deadline_us,
                    has_order_key,
                    mysql_connection_id: 0,
                    cancelling: false,
                    reserved_bytes: 0,
                    cancel_timer: None,
                    call_retries: 0,
                    last_call_us: self.time.now_us,
                };
                self.requests.retain_query_id(&attempt.query_id);
                self.pools.attempts.insert(id, attempt);
                self.write_first_call(slot);
            }
            Err(outcome) => self.attempt_not_sent(id, outcome),
        }
    }

    fn attempt_not_sent(&mut self, id: AttemptId, outcome: Outcome) {
        self.counters.count_attempt_end(outcome);
        self.inputs.push(Input::AttemptEnded { attempt: id, outcome, load_report: None });
    }

    /// Removes an attempt and releases its query id, its memory and its timer.
    pub(super) fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.pools.attempts.remove(&id)?;
        self.requests.release_query_id(&attempt.query_id);
        self.sessions.memory.release(MemoryPurpose::Results, attempt.reserved_bytes);
        if let Some(timer) = attempt.cancel_timer {
            self.timers.cancel(timer);
        }
        Some(attempt)
    }

    /// Ends an attempt and reports its outcome to the core.
    pub(in crate::net) fn end_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        load_report: Option<LoadReport>,
    ) {
        let Some(attempt) = self.remove_attempt(id) else { return };
        self.detach_connection(attempt.slot, id);
        tracing::debug!(
            query_id = attempt.query_id,
            attempt = id.number,
            engine = attempt.engine.0,
            now_us = self.time.now_us,
            ?outcome,
            "attempt ended"
        );
        self.counters.count_attempt_end(outcome);
        self.inputs.push(Input::AttemptEnded { attempt: id, outcome, load_report });
    }

    /// Whether no byte that could make the engine execute this attempt has been written.
    pub(super) fn is_not_forwarded(&self, id: AttemptId, protocol_state: &ProtocolState) -> bool {
        match (self.pools.attempts.get(&id).map(|a| &a.execution), protocol_state) {
            (Some(Execution::Http { start, .. }), _) => start.is_some(),
            (Some(Execution::MySql { stmt }), ProtocolState::MySql(s)) => stmt.is_some() || !s.may_have_run(),
            _ => false,
        }
    }

    /// Handles the end of an attempt's connection. `link` is the state of the closed connection.
    pub(super) fn attempt_connection_ended(&mut self, id: AttemptId, link: &Link, end: ConnectionEnd) {
        let not_forwarded = self.is_not_forwarded(id, &link.protocol_state);
        let Some(attempt) = self.pools.attempts.get(&id) else { return };
        match self.next_step(attempt, link.protocol(), end, not_forwarded) {
            NextStep::RepeatCall => self.repeat_call(id, link.engine, not_forwarded),
            NextStep::ConnectFailed => self.end_attempt(id, Outcome::ConnectFailed, None),
            NextStep::Lost => self.attempt_lost(id),
            NextStep::Cancel => self.cancel_attempt(id),
            NextStep::AwaitCancellation => {}
        }
    }

    /// Chooses the action after the end of an attempt's connection. The first matching row of the table applies.
    ///
    /// | forwarded? | connection | further condition | next step |
    /// | --- | --- | --- | --- |
    /// | yes | any | the attempt is being cancelled | await the cancellation |
    /// | no | any | MySQL, or no retries are left | connecting failed |
    /// | no | not established | | connecting failed |
    /// | yes | any | MySQL | lost |
    /// | yes | not established | the call was repeated before | lost |
    /// | any | any | retries are left | repeat the call |
    /// | yes | any | the settings allow cancelling attempts | cancel |
    /// | yes | any | | lost |
    ///
    /// Over HTTP a query is independent of the connection, and the engine continues to run it after the connection has
    /// ended. Therefore the response is requested again from the same engine, and the query is not started at another
    /// one. An engine that refuses a connection may still run the query: it may be draining, or have reached its
    /// connection limit.
    fn next_step(
        &self,
        attempt: &Attempt,
        protocol: EngineProtocol,
        end: ConnectionEnd,
        not_forwarded: bool,
    ) -> NextStep {
        let not_established = matches!(end, ConnectionEnd::Refused | ConnectionEnd::TimedOut);
        let retries_spent = attempt.call_retries >= MAX_CALL_RETRIES;
        if attempt.cancelling && !not_forwarded {
            return NextStep::AwaitCancellation;
        }
        if not_forwarded && (protocol == EngineProtocol::MySql || not_established || retries_spent) {
            return NextStep::ConnectFailed;
        }
        // The MySQL protocol can't resume a statement over another connection, and a statement may outlive its
        // connection.
        if protocol == EngineProtocol::MySql || (not_established && attempt.call_retries > 0) {
            return NextStep::Lost;
        }
        if !retries_spent {
            NextStep::RepeatCall
        } else if self.config.settings.capabilities.cancels_attempts {
            NextStep::Cancel
        } else {
            NextStep::Lost
        }
    }

    fn repeat_call(&mut self, id: AttemptId, engine: EngineId, not_forwarded: bool) {
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        attempt.call_retries += 1;
        self.counters.asked_again += 1;
        match self.connect(engine, Job::Attempt(id), EngineProtocol::Http) {
            Ok(slot) => {
                if let Some(attempt) = self.pools.attempts.get_mut(&id) {
                    attempt.slot = slot;
                }
                self.write_first_call(slot);
            }
            Err(outcome) if not_forwarded => self.end_attempt(id, outcome, None),
            Err(_) => self.attempt_lost(id),
        }
    }

    /// Ends the use of a connection by an attempt.
    pub(super) fn detach_connection(&mut self, slot: usize, id: AttemptId) {
        let now_us = self.time.now_us;
        let Some(connection) = self.pools.connection(slot) else { return };
        let link = &mut connection.link;
        if link.job == Job::Attempt(id) {
            link.job = Job::Discarding { since_us: now_us };
            let protocol = link.protocol();
            self.pools.dirty.push(slot);
            // A MySQL connection can't be reused before its statement has ended.
            if protocol == EngineProtocol::MySql {
                self.pools.close(&self.poll, &mut self.timers, slot);
            }
        }
    }
}

fn http_execution(request: &OpenClientRequest, class: &str, max_ms: u64, terms: AttemptTerms) -> Execution {
    let mut start = Vec::with_capacity(256 + request.statement.len());
    let call = http::StartCall {
        query_id: &request.query_id,
        class,
        statement: &request.statement,
        max_ms,
        memory_mb: terms.memory_mb,
        priority: terms.priority,
        idempotency_key: request.idempotency_key.as_deref(),
    };
    http::post(&call, &mut start);
    Execution::Http { exchange: http::Exchange::new(&request.query_id), start: Some(start) }
}

/// Converts a request to a statement for a MySQL engine. The query id, the class, the remaining time and the
/// idempotency key are sent as query attributes.
fn mysql_stmt(request: &OpenClientRequest, class: &str, max_ms: u64) -> mysql::Statement {
    let mut attributes = vec![
        Parameter::text(field_name::ID, &request.query_id),
        Parameter::text(field_name::CLASS, class),
        Parameter::text(field_name::WAIT_MS, &max_ms.to_string()),
    ];
    attributes.extend(
        request.idempotency_key.as_deref().map(|key| Parameter::text(field_name::IDEMPOTENCY_KEY, key)),
    );
    let sql = request.statement.clone();
    match &request.mode {
        ExecutionMode::Execute { parameters, .. } => {
            mysql::Statement::Execute(sql, parameters.clone(), attributes)
        }
        ExecutionMode::Simple | ExecutionMode::Query => mysql::Statement::Query(sql, attributes),
    }
}

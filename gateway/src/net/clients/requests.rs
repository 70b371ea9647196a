//! Client requests: admission, final answer and cancellation.

use workload_manager::{RequestId, TableGroupId, TenantId};
use wrenhatch_sessions::memory_budget::MemoryPurpose;
use wrenhatch_sessions::read_scheduler::Work;
use wrenhatch_sessions::session_table::{Activity, Handle};

use crate::admin::metrics::RequestOutcome;
use crate::admission::{self, AdmissionInput, Admitted, Rejection, ResolvedNames};
use crate::core::{Command, Input, NewRequest};
use crate::front::fields::{self, RequestFields};
use crate::front::table_group;
use crate::front::{ClientRequest, ExecutionMode, FinalAnswer, QueryResult};
use crate::mysql_protocol::ResultSet;
use crate::net::{OpenClientRequest, Server};

impl Server {
    /// Validates a request and admits or rejects it. An invalid request gets an error. The decision is made by
    /// [`admission`].
    pub(super) fn handle_request(&mut self, handle: Handle, request: ClientRequest) {
        let ClientRequest { mut fields, statement, mode } = request;
        if let ExecutionMode::Execute { statement_id, .. } = mode {
            tracing::debug!(statement_id, session = ?handle, "prepared statement executed by a client");
        }
        let id_in_use = fields.id.as_ref().is_some_and(|id| self.requests.is_query_id_in_use(id));
        let query_id = fields.id.take().unwrap_or_else(|| self.sessions.new_query_id());
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        let ResolvedNames { class, tenant } = match admission::validate(&self.names, &fields, id_in_use) {
            Ok(names) => names,
            Err(invalid) => {
                self.counters.invalid += 1;
                session.protocol.answer_invalid(&invalid.to_string(), &mut session.connection.output);
                return;
            }
        };
        let (ready_us, expedited) = (session.ready_us, session.expedited);
        let idempotency_key = fields.idempotency_key.take();
        let request = OpenClientRequest { client: handle, query_id, class, statement, idempotency_key, mode };
        let input = AdmissionInput {
            now_us: self.time.now_us,
            ready_us,
            wait_us: admission::wait_us(fields.wait_ms, self.config.settings.classes[class.0].deadline),
            work_ahead_us: if expedited { self.sessions.scheduler.backlog_us() } else { 0 },
            shutting_down: self.rejects_new_work(),
            open_requests: self.requests.open.len(),
            max_open_requests: self.config.max_open_requests,
            memory: self.sessions.memory.check(MemoryPurpose::Requests, request.bytes()),
        };
        match admission::admit(&input) {
            Ok(Admitted { deadline_us }) => {
                let new_request = new_request(&request, tenant, deadline_us, &fields);
                self.open_request(request, new_request, &fields, input.wait_us);
            }
            Err(rejection) => self.reject_request(handle, &request, &rejection),
        }
    }

    fn reject_request(&mut self, handle: Handle, request: &OpenClientRequest, rejection: &Rejection) {
        self.counters.refused += 1;
        self.metrics.count_outcome(request.class, RequestOutcome::Rejected);
        for counter in rejection.counters() {
            *self.counters.rejection_counter(counter) += 1;
        }
        let retry_after = self.config.settings.capabilities.retry_after && rejection.sends_retry_after();
        let retry_after_ms = retry_after.then(|| self.sessions.scheduler.retry_after_ms(self.time.now_us));
        tracing::debug!(
            query_id = request.query_id,
            class = request.class.0,
            reasons = ?rejection.reasons().collect::<Vec<_>>(),
            retry_after_ms,
            now_us = self.time.now_us,
            "request rejected by admission"
        );
        if let Some(session) = self.sessions.table.active_mut(handle) {
            let output = &mut session.connection.output;
            session.protocol.answer(FinalAnswer::Rejected(retry_after_ms), output);
        }
    }

    /// Passes an admitted request to the core. From here on, the client must get exactly one final answer.
    fn open_request(
        &mut self,
        request: OpenClientRequest,
        new_request: NewRequest,
        fields: &RequestFields,
        wait_us: u64,
    ) {
        let handle = request.client;
        let id = self.requests.next_id();
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        session.set_open_request(id);
        // A session with an open request is never evicted, as it is busy.
        self.sessions.table.set_activity(handle, Activity::Busy, self.time.now_us);
        if let Some(tenant) = new_request.tenant {
            self.sessions.set_tenant(handle, tenant.0);
        }
        self.sessions.scheduler.charge(Work::Request, 1);
        self.counters.taken += 1;
        tracing::debug!(
            query_id = request.query_id,
            request = id.0,
            class = request.class.0,
            wait_us,
            estimate_ms = fields.estimate_ms,
            need_mb = fields.memory_mb,
            key = fields.order_key.as_deref(),
            retry = fields.is_retry,
            now_us = self.time.now_us,
            "request admitted"
        );
        self.sessions.memory.reserve(MemoryPurpose::Requests, request.bytes());
        self.requests.insert(id, request);
        self.inputs.push(Input::RequestArrived { id, request: new_request });
    }

    /// Cancels the open request of the session named by a CancelRequest, and answers that session's client at once. A
    /// CancelRequest without a matching session is forwarded to the predecessor, if there is one.
    pub(in crate::net) fn cancel(&mut self, session: u32, secret: u32) {
        let handle = session.checked_sub(1).and_then(|slot| self.sessions.table.handle_of_slot(slot));
        let Some(handle) = handle.filter(|handle| self.sessions.secret_of(*handle) == Some(secret)) else {
            return self.forward_cancel_request(session, secret);
        };
        // The request arrives over another connection than the CancelRequest and may still be unread.
        self.read_now(handle);
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        if let Some(id) = session.take_open_request() {
            session.protocol.answer(FinalAnswer::Cancelled, &mut session.connection.output);
            session.ready_us = self.time.now_us;
            self.client_left(id);
            self.read_messages(handle);
        }
    }

    fn close_request(&mut self, id: RequestId) -> Option<OpenClientRequest> {
        let request = self.requests.remove(id)?;
        self.sessions.memory.release(MemoryPurpose::Requests, request.bytes());
        Some(request)
    }

    /// Closes an open request whose client has disconnected or cancelled it.
    pub(super) fn client_left(&mut self, id: RequestId) {
        if let Some(request) = self.close_request(id) {
            tracing::debug!(query_id = request.query_id, now_us = self.time.now_us, "client left");
            self.counters.left += 1;
            self.inputs.push(Input::ClientLeft(id));
        }
    }

    /// Writes the core's final answer to the client of a request. Requests that were closed before are ignored.
    pub(in crate::net) fn answer(&mut self, command: Command) {
        let id = match command {
            Command::Serve(attempt) => attempt.request,
            Command::Reject { request, .. } | Command::Fail(request) => request,
            _ => return,
        };
        let Some(request) = self.close_request(id) else { return };
        let answer = match command {
            Command::Serve(attempt) => match self.pools.results.get(&attempt) {
                Some(payload) => FinalAnswer::Served(payload),
                None => FinalAnswer::Failed("the result is lost"),
            },
            Command::Reject { retry_after_ms, .. } => FinalAnswer::Rejected(retry_after_ms),
            _ => FinalAnswer::Failed("the engines could not answer"),
        };
        tracing::debug!(
            query_id = request.query_id,
            now_us = self.time.now_us,
            outcome = answer.name(),
            "request answered"
        );
        let (counter, outcome) = match answer {
            FinalAnswer::Served(QueryResult::MySql(ResultSet::StatementError(_))) => {
                (&mut self.counters.failed, RequestOutcome::Failed)
            }
            FinalAnswer::Served(_) => (&mut self.counters.served, RequestOutcome::Served),
            FinalAnswer::Rejected(_) => (&mut self.counters.refused, RequestOutcome::Rejected),
            FinalAnswer::Failed(_) | FinalAnswer::Cancelled => {
                (&mut self.counters.failed, RequestOutcome::Failed)
            }
        };
        *counter += 1;
        self.metrics.count_outcome(request.class, outcome);
        let Some(session) = self.sessions.table.active_mut(request.client) else { return };
        if session.open_request == Some(id) {
            session.take_open_request();
            session.ready_us = self.time.now_us;
            session.protocol.answer(answer, &mut session.connection.output);
            self.read_messages(request.client);
        }
    }
}

/// Converts an admitted request to the form that the core receives.
fn new_request(
    request: &OpenClientRequest,
    tenant: Option<TenantId>,
    deadline_us: u64,
    fields: &RequestFields,
) -> NewRequest {
    NewRequest {
        class: request.class,
        tenant,
        deadline_us,
        estimated_work: fields.estimate_ms.map(|ms| ms / 1000.0),
        estimated_memory_mb: fields.memory_mb.filter(|mb| *mb > 0.0),
        table_group: table_group::table_group(&request.statement).map(TableGroupId),
        key: fields.order_key.as_deref().map(fields::key_id),
        is_retry: fields.is_retry,
    }
}

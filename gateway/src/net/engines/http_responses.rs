//! Handling of HTTP responses of engines, according to the job of the connection.

use workload_manager::{Outcome, Progress};
use wrenhatch_sessions::memory_budget::MemoryPurpose;

use super::connections::REUSE_DELAY_US;
use super::{AttemptId, ConnectionEnd, Execution, Job};
use crate::core::Input;
use crate::engine::http::{Response, Step, status};
use crate::front::QueryResult;
use crate::net::Server;

impl Server {
    pub(super) fn http_response(&mut self, slot: usize, mut response: Response) {
        let Some(connection) = self.pools.connection(slot) else { return };
        // Input after a response is unexpected and would be mistaken for the next response.
        response.close |= !connection.conn.input.is_empty();
        // Both statuses mean that the attempt has ended: the engine has cancelled the query or no longer has it.
        let cancelled = matches!(response.status, status::NO_CONTENT | status::INTERNAL_SERVER_ERROR);
        match connection.link.job {
            Job::Cancel(id) if cancelled => {
                self.release_or_close(slot, response.close);
                self.end_attempt(id, Outcome::Cancelled, None);
            }
            Job::Confirm(id) if cancelled => {
                self.release_or_close(slot, response.close);
                self.confirm_ended(id);
            }
            // An idle connection awaits no response. Any other response to a call that cancels an attempt is unusable.
            Job::Idle { .. } | Job::Cancel(_) | Job::Confirm(_) => {
                self.connection_ended(slot, ConnectionEnd::Broken);
            }
            Job::Discarding { .. } => self.release_or_close(slot, response.close),
            Job::Attempt(id) => self.attempt_response(slot, id, response),
        }
    }

    fn attempt_response(&mut self, slot: usize, id: AttemptId, mut response: Response) {
        let Some(attempt) = self.pools.attempts.get_mut(&id) else {
            return self.release_or_close(slot, response.close);
        };
        let Execution::Http { exchange, .. } = &mut attempt.execution else { return };
        let mut next_call = Vec::new();
        let step = exchange.on_response(&mut response, &mut next_call);
        let held_bytes = exchange.held_bytes();
        let reserved_bytes = std::mem::replace(&mut attempt.reserved_bytes, held_bytes);
        self.sessions.memory.resize(MemoryPurpose::Results, reserved_bytes, held_bytes);
        let was_repeated = attempt.call_retries > 0;
        if step != Step::Unusable {
            attempt.call_retries = 0;
        }
        match step {
            Step::CallWritten => self.write_next_call(slot, id, &response, next_call),
            Step::StillRunning => self.release_or_close(slot, response.close),
            Step::Unusable => {
                let query_id = &attempt.query_id;
                tracing::debug!(
                    query_id,
                    attempt = id.number,
                    status = response.status,
                    "unusable response from an engine"
                );
                self.connection_ended(slot, ConnectionEnd::Broken);
            }
            Step::Ended(outcome) => self.http_attempt_ended(slot, id, outcome, was_repeated, response.close),
        }
    }

    /// Reports progress to the core, and writes the next call of a running attempt over the same connection. The call
    /// asks for a progress report or for a page of the result.
    fn write_next_call(&mut self, slot: usize, id: AttemptId, response: &Response, mut next_call: Vec<u8>) {
        let now_us = self.time.now_us;
        let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) else { return };
        let link = &mut connection.link;
        // An engine without progress to report delays its response by more than the reuse delay.
        let early = now_us < link.call_written_us + REUSE_DELAY_US;
        link.duplicate_response_possible |=
            response.status == status::ACCEPTED && response.progress.is_none() && early;
        let progress = response.progress.unwrap_or(Progress::Running);
        self.inputs.push(Input::AttemptProgress { attempt: id, progress });
        if response.close {
            return self.connection_ended(slot, ConnectionEnd::Broken);
        }
        link.call_written_us = now_us;
        if let Some(attempt) = self.pools.attempts.get_mut(&id) {
            attempt.last_call_us = now_us;
        }
        connection.conn.output.append(&mut next_call);
        self.pools.dirty.push(slot);
    }

    fn http_attempt_ended(
        &mut self,
        slot: usize,
        id: AttemptId,
        mut outcome: Outcome,
        was_repeated: bool,
        close: bool,
    ) {
        let Some(attempt) = self.pools.attempts.get(&id) else { return };
        let Execution::Http { exchange, .. } = &attempt.execution else { return };
        // An error in response to a repeated call may mean that the call that starts the query was lost, or that the
        // engine has restarted. Neither is an error of the engine or of the request.
        if was_repeated && outcome == Outcome::Error {
            outcome = Outcome::Cancelled;
        }
        let load_report = exchange.load_report;
        if outcome == Outcome::Success {
            match exchange.rows() {
                Some(rows) => drop(self.pools.results.insert(id, QueryResult::Text(rows))),
                None => outcome = Outcome::Error,
            }
        }
        self.release_or_close(slot, close);
        self.end_attempt(id, outcome, load_report);
    }
}

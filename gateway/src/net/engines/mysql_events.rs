//! Handling of events of MySQL connections to engines, according to the job of the connection.

use workload_manager::Outcome;

use super::calls::log_execution;
use super::{AttemptId, ConnectionEnd, Job, ProtocolState};
use crate::engine::mysql::Event;
use crate::front::QueryResult;
use crate::mysql_protocol::{ResultSet, SqlError, error_code};
use crate::net::Server;

/// Error codes of an engine that has reached a connection limit.
const TOO_MANY_CONNECTIONS: [u16; 3] = [
    error_code::ER_CON_COUNT_ERROR,
    error_code::ER_TOO_MANY_USER_CONNECTIONS,
    error_code::ER_USER_LIMIT_REACHED,
];

impl Server {
    pub(super) fn mysql_event(&mut self, slot: usize, event: Event) {
        let Some(job) = self.pools.connection(slot).map(|c| c.link.job) else { return };
        match (event, job) {
            (Event::Ready, Job::Attempt(_) | Job::Cancel(_)) => self.write_first_call(slot),
            (Event::Ready, Job::Idle { .. } | Job::Discarding { .. }) => self.release(slot),
            (Event::Prepared, Job::Attempt(id)) => self.execute_prepared(slot, id),
            (Event::Completed(result), Job::Attempt(id)) => {
                // An error of the statement itself is a final answer like rows: another engine would return the same
                // error, and the engine is not at fault.
                self.pools.results.insert(id, QueryResult::MySql(result));
                self.release(slot);
                self.end_attempt(id, Outcome::Success, None);
            }
            (Event::Failed(e), Job::Attempt(id)) => {
                tracing::debug!(
                    attempt = id.number,
                    code = e.code,
                    error = e.message,
                    "error from an engine"
                );
                self.release(slot);
                self.end_attempt(id, Outcome::Error, None);
            }
            (Event::ConnectionRejected(e), Job::Attempt(id)) => {
                self.pools.close(&self.poll, &mut self.timers, slot);
                self.end_attempt(id, connection_rejected_outcome(&e), None);
            }
            (event @ (Event::Completed(_) | Event::Failed(_)), Job::Cancel(id)) => {
                self.release(slot);
                if is_kill_confirmed(&event) {
                    self.end_attempt(id, Outcome::Cancelled, None);
                }
            }
            (Event::Completed(_) | Event::Failed(_), Job::Discarding { .. }) => self.release(slot),
            _ => {
                if let Some(connection) = self.pools.connection(slot) {
                    connection.conn.input.clear();
                }
                self.connection_ended(slot, ConnectionEnd::Broken);
            }
        }
    }

    /// Executes the prepared statement of an attempt, unless the attempt may no longer be forwarded.
    fn execute_prepared(&mut self, slot: usize, id: AttemptId) {
        let Some(engine) = self.pools.connection(slot).map(|c| c.link.engine) else { return };
        if !self.may_forward(id, engine) {
            self.pools.close(&self.poll, &mut self.timers, slot);
            return self.end_attempt(id, Outcome::NeverSent, None);
        }
        let Some(attempt) = self.pools.attempts.get(&id) else { return };
        let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) else { return };
        if let ProtocolState::MySql(session) = &mut connection.link.protocol_state {
            session.execute(&mut connection.conn.output);
            log_execution(&attempt.query_id, slot, session);
        }
    }
}

/// Whether the response to a KILL proves that the other connection has ended. After any other error, for example
/// missing privileges, the state of that connection is unknown.
fn is_kill_confirmed(event: &Event) -> bool {
    matches!(
        event,
        Event::Completed(ResultSet::Done { .. })
            | Event::Failed(SqlError { code: error_code::ER_NO_SUCH_THREAD, .. })
    )
}

/// Outcome of an attempt whose connection was rejected by the engine. A connection limit is a rejection that may pass.
/// Any other error counts as a failure to connect. The statement was not executed in either case.
fn connection_rejected_outcome(e: &SqlError) -> Outcome {
    tracing::warn!(code = e.code, error = e.message, "connection rejected by an engine");
    if TOO_MANY_CONNECTIONS.contains(&e.code) { Outcome::Rejected } else { Outcome::ConnectFailed }
}

//! What comes over connections to engines, and what it means for the attempt or the call that waits for it.

use workload_manager::interface::*;
use wrenhatch_sessions::memory_budget::MemoryPurpose;

use super::connections::REST_US;
use super::{Course, End, Job, Wire};
use crate::core::Input;
use crate::engine::{http, mysql};
use crate::front::Payload;
use crate::mysql::{ResultSet, SqlError};
use crate::net::Server;
use crate::net::conn::ReadEnd;
use crate::net::pools::Peer;

/// A MySQL engine's error: it knows no such connection.
const NO_SUCH_THREAD: u16 = 1094;

impl Server {
    pub(in crate::net) fn engine_read(&mut self, at: usize, end: ReadEnd) {
        loop {
            let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
            let link = &mut peer.link;
            let conn = &mut peer.conn;
            if conn.input.is_empty() {
                break;
            }
            if link.is_resting() {
                tracing::debug!(engine = link.engine.0, "a second answer has come late");
                return self.engine_gone(at, End::Broken);
            }
            let read = match &mut link.wire {
                Wire::Http => match http::read(&mut conn.input, &self.names.load_report_extras) {
                    Ok(None) => break,
                    Ok(Some(response)) => {
                        self.response(at, response);
                        Ok(())
                    }
                    Err(e) => Err(e.to_string()),
                },
                Wire::MySql(session) => {
                    self.pools.dirty.push(at);
                    match session.read(&mut conn.input, &mut conn.output) {
                        Ok(None) => break,
                        Ok(Some(event)) => {
                            self.mysql_event(at, event);
                            Ok(())
                        }
                        Err(e) => Err(e.to_string()),
                    }
                }
            };
            if let Err(e) = read {
                tracing::warn!("an engine's answer: {e}");
                return self.engine_gone(at, End::Broken);
            }
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            self.engine_gone(at, End::Broken);
        }
    }

    pub(super) fn response(&mut self, at: usize, mut response: http::Response) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let link = &mut peer.link;
        // The answer may be good, but what stands behind it would be taken for the next one.
        response.close |= !peer.conn.input.is_empty();
        match link.job {
            // Nothing was asked here.
            Job::Idle { .. } => self.engine_gone(at, End::Broken),
            Job::Discarding { .. } => self.release_or_close(at, response.close),
            // The call has come whole, or the engine knows the query no more: the attempt is over.
            Job::Delete(id) if matches!(response.status, 204 | 500) => {
                self.release_or_close(at, response.close);
                self.end_attempt(id, Outcome::Cancelled, None);
            }
            Job::Confirm(id) if matches!(response.status, 204 | 500) => {
                self.release_or_close(at, response.close);
                self.confirm_ended(id);
            }
            Job::Delete(_) | Job::Confirm(_) => self.engine_gone(at, End::Broken),
            Job::Attempt(id) => {
                let Some(attempt) = self.pools.attempts.get_mut(&id) else {
                    return self.release_or_close(at, response.close);
                };
                let Course::Http { exchange, .. } = &mut attempt.course else { return };
                let mut next = Vec::new();
                let step = exchange.on_response(&mut response, &mut next);
                let asked_again = attempt.retries > 0;
                let held = exchange.held_bytes();
                self.sessions.memory.resize(
                    MemoryPurpose::Results,
                    std::mem::replace(&mut attempt.booked, held),
                    held,
                );
                if step != http::Step::Spoilt {
                    attempt.retries = 0;
                }
                match step {
                    http::Step::Asked => {
                        // Where there is no news the engine takes its time to say so.
                        let soon = now_us < link.asked_us + REST_US;
                        link.doubtful |= response.status == 202 && response.note.is_none() && soon;
                        let note = response.note.unwrap_or(Progress::Running);
                        self.inputs.push(Input::AttemptProgress { attempt: id, progress: note });
                        if response.close {
                            return self.engine_gone(at, End::Broken);
                        }
                        link.asked_us = now_us;
                        attempt.asked_us = now_us;
                        peer.conn.output.append(&mut next);
                        self.pools.dirty.push(at);
                    }
                    http::Step::Spoilt => {
                        tracing::debug!(ticket = attempt.ticket, status = response.status, "a spoilt answer");
                        self.engine_gone(at, End::Broken);
                    }
                    http::Step::Quiet => {
                        link.job = Job::Discarding { since_us: now_us };
                        self.release_or_close(at, response.close);
                    }
                    http::Step::Ended(mut outcome) => {
                        // The call that starts it was lost with its connection, or its engine has started anew:
                        // the engine that says so is well, and the request too.
                        if asked_again && outcome == Outcome::Error {
                            outcome = Outcome::Cancelled;
                        }
                        let report = exchange.report;
                        if outcome == Outcome::Success {
                            match exchange.rows() {
                                Some(rows) => {
                                    self.pools.results.insert(id, Payload::Text(rows));
                                }
                                None => outcome = Outcome::Error,
                            }
                        }
                        self.release_or_close(at, response.close);
                        self.end_attempt(id, outcome, report);
                    }
                }
            }
        }
    }

    pub(super) fn mysql_event(&mut self, at: usize, event: mysql::Event) {
        let Some(Peer { conn, link, .. }) = self.pools.peer(at) else { return };
        let (job, engine) = (link.job, link.engine);
        match (&event, job) {
            (mysql::Event::Up, Job::Attempt(_) | Job::Delete(_)) => self.post_if_up(at),
            (mysql::Event::Up, Job::Idle { .. } | Job::Discarding { .. }) => self.release(at),
            (mysql::Event::Prepared, Job::Attempt(id)) => {
                if !self.may_begin(id, engine) {
                    // It was prepared there and nothing more: it never ran.
                    self.pools.close(&self.poll, &mut self.timers, at);
                    return self.end_attempt(id, Outcome::NeverSent, None);
                }
                if let Some(Peer { conn, link, .. }) = self.pools.peer(at) {
                    if let Wire::MySql(session) = &mut link.wire {
                        session.execute(&mut conn.output);
                    }
                }
            }
            (mysql::Event::Done(result), Job::Attempt(id)) => {
                // An error of the statement's own is the engine's last word on it, as rows are: no other
                // engine would say more, and none of them is ill for it.
                self.pools.results.insert(id, Payload::MySql(result.clone()));
                self.release(at);
                self.end_attempt(id, Outcome::Success, None);
            }
            (mysql::Event::Failed(e), Job::Attempt(id)) => {
                tracing::debug!(code = e.code, "an engine's error: {}", e.message);
                self.release(at);
                self.end_attempt(id, Outcome::Error, None);
            }
            (mysql::Event::TurnedAway(e), Job::Attempt(id)) => {
                self.pools.close(&self.poll, &mut self.timers, at);
                self.end_attempt(id, turned_away(e), None);
            }
            // The other connection was ended, or had ended by itself: the attempt is over. After any other
            // error, as that this gateway may not end it, nothing is known of it.
            (mysql::Event::Done(ResultSet::Done { .. }), Job::Delete(id)) => {
                self.release(at);
                self.end_attempt(id, Outcome::Cancelled, None);
            }
            (mysql::Event::Done(_) | mysql::Event::Failed(_), Job::Delete(id)) => {
                self.release(at);
                if let mysql::Event::Failed(SqlError { code: NO_SUCH_THREAD, .. }) = event {
                    self.end_attempt(id, Outcome::Cancelled, None);
                }
            }
            (mysql::Event::Done(_) | mysql::Event::Failed(_), Job::Discarding { .. }) => self.release(at),
            _ => {
                conn.input.clear();
                self.engine_gone(at, End::Broken);
            }
        }
    }
}

/// An engine that lets no more connections in is full; one that lets this gateway in never is not to be
/// reached. Nothing ran on either.
fn turned_away(e: &SqlError) -> Outcome {
    tracing::warn!(code = e.code, "an engine turned a connection away: {}", e.message);
    if matches!(e.code, 1040 | 1203 | 1226) { Outcome::Rejected } else { Outcome::ConnectFailed }
}

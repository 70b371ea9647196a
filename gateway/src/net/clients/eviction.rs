//! Eviction: closes sessions to free a slot of the session table, a descriptor or memory for another client, an engine
//! connection or an open request.

use crate::front::DisconnectReason;
use wrenhatch_sessions::memory_budget::MemoryPressure;
use wrenhatch_sessions::session_table::{Activity, Handle};

use crate::net::Server;

/// Maximum number of candidates tried for one eviction. A candidate is skipped if it has unread input.
const MAX_CANDIDATES: usize = 16;
/// Maximum number of sessions closed in one turn to free memory.
const MAX_MEMORY_EVICTIONS: usize = 64;

impl Server {
    /// Evicts the best candidate that is safe to close. Returns false if there is none among the candidates tried.
    pub(in crate::net) fn evict_one(&mut self) -> bool {
        for _ in 0..MAX_CANDIDATES {
            let Some(handle) = self.sessions.eviction_candidate(self.time.now_us) else { return false };
            if self.close_if_safe(handle) {
                self.counters.evicted += 1;
                return true;
            }
        }
        false
    }

    /// Whether an idle session can be closed without losing a request. It is read once more first: a request that has
    /// arrived would be lost, and closing a socket with unread input resets the connection. Always true for a session
    /// that is not idle.
    pub(super) fn is_safe_to_close(&mut self, handle: Handle) -> bool {
        if self.sessions.table.activity(handle).is_some_and(|(activity, _)| activity.is_idle()) {
            self.read_now(handle);
            if let Some(session) = self.sessions.table.active(handle) {
                let activity = session.activity();
                if !activity.is_idle() {
                    self.sessions.table.set_activity(handle, activity, self.time.now_us);
                    return false;
                }
            }
        }
        true
    }

    /// Closes a session at once, unless it was idle and a last read shows that it no longer is. Returns whether the
    /// session was closed.
    fn close_if_safe(&mut self, handle: Handle) -> bool {
        let is_safe_to_close = self.is_safe_to_close(handle);
        if is_safe_to_close {
            self.close_client(handle);
        }
        is_safe_to_close
    }

    /// Closes sessions while the memory budget is under pressure: first idle ones with prepared statements, then those
    /// with incomplete messages, then those that don't read their answers. Sessions with open requests are never
    /// closed.
    pub(in crate::net) fn relieve_memory_pressure(&mut self) {
        for _ in 0..MAX_MEMORY_EVICTIONS {
            let evictable: &[Activity] = match self.sessions.memory.pressure() {
                MemoryPressure::Normal => return,
                MemoryPressure::Elevated => &[Activity::IdleWithStatements],
                MemoryPressure::High => &[Activity::IdleWithStatements, Activity::IncompleteMessage],
                MemoryPressure::Exhausted => {
                    &[Activity::IdleWithStatements, Activity::IncompleteMessage, Activity::UnreadOutput]
                }
            };
            let oldest = evictable.iter().find_map(|activity| self.sessions.table.oldest(*activity));
            let Some((handle, _)) = oldest else { return };
            self.counters.no_memory += 1;
            let activity = self.sessions.table.activity(handle).map(|(activity, _)| activity);
            match self.sessions.table.active_mut(handle) {
                Some(session) if activity == Some(Activity::IncompleteMessage) => {
                    session
                        .protocol
                        .disconnect(DisconnectReason::OutOfMemory, &mut session.connection.output);
                    self.close_gracefully(handle);
                    self.settle_session(handle);
                }
                _ => {
                    self.close_if_safe(handle);
                }
            }
        }
    }
}

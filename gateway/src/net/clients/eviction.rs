//! Eviction: sessions that are closed so that another client, an engine's connection or an open request may have what
//! they hold.

use crate::front::DisconnectReason;
use wrenhatch_sessions::memory_budget::MemoryPressure;
use wrenhatch_sessions::session_table::{Activity, Handle};

use crate::net::Server;

/// Candidates that are tried in a row, as each may turn out to have a request to be read.
const MAX_CANDIDATES: usize = 16;
/// Sessions that are closed in one turn to free memory.
const MAX_MEMORY_EVICTIONS: usize = 64;

impl Server {
    /// Closes the session whose place is needed least; false if there is none.
    pub(in crate::net) fn evict_one(&mut self) -> bool {
        for _ in 0..MAX_CANDIDATES {
            let Some(handle) = self.sessions.eviction_candidate(self.time.now_us) else { return false };
            if self.close_if_silent(handle) {
                self.counters.evicted += 1;
                return true;
            }
        }
        false
    }

    /// Whether a session that is to be closed has sent nothing that is unread: reads it once more. A request that
    /// crosses the close would be lost, and a close over unread bytes resets the connection.
    pub(super) fn is_silent(&mut self, handle: Handle) -> bool {
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

    /// Closes a session at once, as its descriptor is needed, unless something has come over it. True if it is closed.
    fn close_if_silent(&mut self, handle: Handle) -> bool {
        let is_silent = self.is_silent(handle);
        if is_silent {
            self.close_client(handle);
        }
        is_silent
    }

    /// Frees memory under pressure: sessions with prepared statements are closed first, then those with incomplete
    /// messages, then those that don't read their answers. Open requests are never ended for it.
    pub(in crate::net) fn relieve_memory(&mut self) {
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
                    self.close_if_silent(handle);
                }
            }
        }
    }
}

//! Time limits of clients: for completing a start-up or a message, for a graceful close, and for idle sessions.

use crate::front::DisconnectReason;
use wrenhatch_sessions::session_table::{Activity, Handle};

use crate::net::connection::Phase;
use crate::net::sessions::{CLOSE_TIMEOUT_US, MESSAGE_TIMEOUT_US};
use crate::net::{NetTimer, Server};

const IDLE_ACTIVITIES: [Activity; 2] = [Activity::Idle, Activity::IdleWithStatements];

impl Server {
    /// Enforces the time limit of a client. A client with an incomplete start-up or message gets an error and is closed
    /// gracefully. A client that does not complete the graceful close is closed at once.
    pub(in crate::net) fn client_timer_fired(&mut self, handle: Handle) {
        let now_us = self.time.now_us;
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        session.timer = None;
        let Some(since_us) = session.awaited_since_us else { return };
        if session.connection.phase == Phase::Closing {
            if now_us >= since_us + CLOSE_TIMEOUT_US {
                self.close_client(handle);
            }
        } else if now_us >= since_us + MESSAGE_TIMEOUT_US {
            session.protocol.disconnect(DisconnectReason::Timeout, &mut session.connection.output);
            self.counters.timed_out += 1;
            self.close_gracefully(handle);
        }
        self.sessions.mark_dirty(handle);
    }

    /// Arms the timer for the longest idle session, if idle sessions have a limit and the timer is not armed.
    pub(super) fn arm_idle_timer(&mut self) {
        let Some(limit_us) = self.config.clients.idle_limit_us else { return };
        if self.sessions.idle_timer.is_some() {
            return;
        }
        let oldest = IDLE_ACTIVITIES.map(|activity| self.sessions.table.oldest(activity));
        if let Some(since_us) = oldest.into_iter().flatten().map(|(_, since_us)| since_us).min() {
            self.sessions.idle_timer = Some(self.timers.arm(since_us + limit_us, NetTimer::IdleLimit));
        }
    }

    /// Closes sessions that have exceeded the configured idle limit.
    pub(in crate::net) fn close_idle_sessions(&mut self) {
        self.sessions.idle_timer = None;
        let Some(limit_us) = self.config.clients.idle_limit_us else { return };
        for activity in IDLE_ACTIVITIES {
            while let Some((handle, since_us)) = self.sessions.table.oldest(activity) {
                if self.time.now_us < since_us + limit_us {
                    break;
                }
                if self.is_safe_to_close(handle) {
                    // No other client waits for the slot, so that the close can be graceful.
                    self.close_gracefully(handle);
                    self.sessions.table.set_activity(handle, Activity::Closing, self.time.now_us);
                    self.counters.idle_closed += 1;
                }
            }
        }
        self.arm_idle_timer();
    }
}

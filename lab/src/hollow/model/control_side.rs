//! Event handlers of the control machines: connections, list requests, streams and replicated changes.

use super::control::{REQUEST_COST_US, STALL_TIMEOUT_US};
use super::event::Event;
use super::{ConnectionId, Model};
use crate::hollow::control_state::ControlState;
use crate::hollow::list::{COMMENT, COMMENT_PERIOD_US, STREAM_HEAD};

impl Model {
    pub(super) fn on_connect_arrived(&mut self, connection: ConnectionId) {
        let latency_us = self.connection_latency_us(connection);
        match self.machine_of(connection).state {
            ControlState::Serving => {
                self.schedule(self.now_us + latency_us, Event::ConnectAccepted(connection))
            }
            ControlState::Down => self.schedule(self.now_us + latency_us, Event::ConnectRefused(connection)),
            ControlState::Unreachable => {}
        }
    }

    pub(super) fn on_request_arrived(&mut self, connection: ConnectionId, after: u64) {
        let now_us = self.now_us;
        match self.machine_of(connection).state {
            ControlState::Serving => {
                let completed_us = self.machine_of(connection).enqueue_work(now_us, REQUEST_COST_US);
                self.schedule(completed_us, Event::StreamBegins { connection, after });
            }
            ControlState::Down => self.send_end_to_gateway(connection),
            ControlState::Unreachable => {}
        }
    }

    pub(super) fn on_stream_begins(&mut self, connection: ConnectionId, after: u64) {
        if self.machine_of(connection).state != ControlState::Serving {
            return;
        }
        let now_us = self.now_us;
        self.machine_of(connection).open_stream(now_us, connection, after);
        self.write(connection, STREAM_HEAD.into());
        self.send_events(connection);
        self.schedule(now_us + COMMENT_PERIOD_US, Event::CommentDue(connection));
    }

    /// Writes all events that the stream has not sent yet.
    fn send_events(&mut self, connection: ConnectionId) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        let Some(stream) = machine.streams.get_mut(&connection) else { return };
        let events = machine.list.events_after(stream.last_sent);
        if let Some((index, _)) = events.last() {
            stream.last_sent = *index;
        }
        machine.events.add(now_us, events.len() as u64);
        machine.event_bytes += events.iter().map(|(_, text)| text.len() as u64).sum::<u64>();
        for (_, text) in events {
            self.write(connection, text);
        }
    }

    pub(super) fn on_comment_due(&mut self, connection: ConnectionId) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        let Some(stream) = machine.streams.get(&connection) else { return };
        if stream.stalled_since_us.is_some_and(|since_us| now_us >= since_us + STALL_TIMEOUT_US) {
            machine.streams.remove(&connection);
            return;
        }
        if !self.comments_suspended {
            self.write(connection, COMMENT.into());
        }
        self.schedule(now_us + COMMENT_PERIOD_US, Event::CommentDue(connection));
    }

    pub(super) fn on_changes_replicated(&mut self, machine: usize, changes: usize) {
        if self.machines[machine].state != ControlState::Serving {
            return;
        }
        let applied = self.machines[machine].list.last_index() as usize - 1;
        for change in self.changes.iter().take(changes).skip(applied) {
            self.machines[machine].list.change(&change.databases);
        }
        let streams: Vec<_> = self.machines[machine].streams.keys().copied().collect();
        for connection in streams {
            self.send_events(connection);
        }
    }

    pub(super) fn on_stream_ended_at_control(&mut self, connection: ConnectionId) {
        self.machine_of(connection).streams.remove(&connection);
    }
}

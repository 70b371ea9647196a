//! The connection to the discovery service, which streams the endpoint list. The protocol and its timing are
//! implemented by [`EndpointWatch`]. This module does the I/O.

use std::net::SocketAddr;

use wrenhatch_sessions::timer_wheel::TimerId;

use super::connection::{Connection, Phase, ReadEnd};
use super::poll::Interest;
use super::poll_key::PollKey;
use super::{NetTimer, Server};
use crate::discovery::{DueActions, EndpointListEvent, EndpointWatch, WatchError};

/// Read-ahead of the stream from the discovery service.
const READ_AHEAD_BYTES: usize = 1 << 20;

/// The watch of the endpoint list and its connection.
pub struct Watch {
    state: EndpointWatch,
    conn: Option<Connection>,
    /// Distinguishes the connection from earlier ones in poller keys.
    serial: u32,
    /// Fires at [`EndpointWatch::deadline_us`].
    timer: Option<TimerId>,
}

impl Watch {
    pub(super) fn new(state: EndpointWatch) -> Self {
        Self { state, conn: None, serial: 0, timer: None }
    }

    fn key(&self) -> u64 {
        PollKey::Watch(self.serial).encode()
    }
}

impl Server {
    /// Performs the actions that are due: closes a silent stream, and connects if the stream is down.
    pub(super) fn check_watch(&mut self) {
        let Some(address) = self.config.discovery else { return };
        let now_us = self.time.now_us;
        let mut events = Vec::new();
        let DueActions { close, connect } =
            self.watch.state.on_deadline(now_us, || self.sessions.random_float(), &mut events);
        if close {
            tracing::warn!("the discovery service is silent");
            self.close_watch_conn();
        }
        self.apply_list_events(&events);
        if connect {
            self.connect_watch(address);
        }
        self.arm_watch_timer();
    }

    fn connect_watch(&mut self, address: SocketAddr) {
        self.watch.serial = self.watch.serial.wrapping_add(1);
        match self.dial(address, self.watch.key(), READ_AHEAD_BYTES) {
            Ok(mut conn) => {
                self.watch.state.write_request(&mut conn.output);
                self.watch.conn = Some(conn);
                self.watch.state.on_connecting(self.time.now_us);
                self.counters.list_connects += 1;
            }
            Err(error) => tracing::warn!(%address, %error, "can't connect to the discovery service"),
        }
    }

    fn arm_watch_timer(&mut self) {
        let deadline_us = self.watch.state.deadline_us();
        if !self.watch.timer.is_some_and(|timer| self.timers.rearm(timer, deadline_us)) {
            self.watch.timer = Some(self.timers.arm(deadline_us, NetTimer::Watch));
        }
    }

    /// Switches to another address of the discovery service. The stream continues after the last event, as event
    /// indices are common to both.
    pub(super) fn change_discovery_address(&mut self, to: SocketAddr) {
        if self.config.discovery.replace(to) == Some(to) {
            return;
        }
        let mut events = Vec::new();
        self.watch.state.reconnect(&mut events);
        self.close_watch_conn();
        self.apply_list_events(&events);
        self.check_watch();
    }

    /// Applies an event from the configuration file if it is newer than the last event.
    pub(super) fn apply_known_list_event(&mut self, event: &EndpointListEvent) {
        let mut events = Vec::new();
        self.watch.state.on_known_event(event, &mut events);
        self.apply_list_events(&events);
    }

    pub(super) fn watch_ready(&mut self, key: u64, interest: Interest) {
        if key != self.watch.key() {
            return;
        }
        let Some(conn) = &mut self.watch.conn else { return };
        if conn.phase == Phase::Connecting {
            if !interest.write && !interest.read {
                return;
            }
            if conn.finish_connect().is_err() {
                return self.watch_lost();
            }
            self.watch.state.on_connected(self.time.now_us);
            self.arm_watch_timer();
        }
        let Some(conn) = &mut self.watch.conn else { return };
        if interest.read {
            if conn.is_read_paused() {
                return self.watch_lost();
            }
            let end = conn.fill(usize::MAX);
            self.read_watch(end);
        }
        self.flush_watch();
    }

    fn flush_watch(&mut self) {
        let key = self.watch.key();
        let Some(conn) = &mut self.watch.conn else { return };
        if conn.phase != Phase::Connecting && (conn.flush().is_err() || conn.update(&self.poll, key).is_err())
        {
            self.watch_lost();
        }
    }

    fn read_watch(&mut self, end: ReadEnd) {
        let Some(conn) = &mut self.watch.conn else { return };
        let mut events = Vec::new();
        let read = self.watch.state.on_bytes(
            self.time.now_us,
            &mut conn.input,
            || self.sessions.random_float(),
            &mut events,
        );
        if let Err(e) = &read {
            match e {
                WatchError::MissingEvents { index, last_index } => {
                    tracing::warn!(
                        index,
                        last_index,
                        "events of the endpoint list are missing: requesting them again"
                    );
                }
                // The first unreadable entry is logged when the event is applied.
                WatchError::UnreadableEntries(_) => {}
                WatchError::Stream(error) => {
                    tracing::warn!(%error, "endpoint list stream can't be read");
                }
            }
            self.close_watch_conn();
        }
        self.apply_list_events(&events);
        if read.is_ok() && matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.watch_lost();
        }
        self.arm_watch_timer();
    }

    fn apply_list_events(&mut self, events: &[EndpointListEvent]) {
        events.iter().for_each(|event| self.apply_list_event(event));
    }

    fn close_watch_conn(&mut self) {
        if let Some(conn) = self.watch.conn.take() {
            conn.close(&self.poll);
        }
    }

    /// Closes the stream after it has ended or broken.
    fn watch_lost(&mut self) {
        let mut events = Vec::new();
        self.watch.state.on_connection_lost(self.time.now_us, || self.sessions.random_float(), &mut events);
        self.close_watch_conn();
        self.apply_list_events(&events);
        self.arm_watch_timer();
    }
}

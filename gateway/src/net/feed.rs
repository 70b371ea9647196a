//! The connection to the coordinator.

use std::net::SocketAddr;

use wrenhatch_sessions::wheel::TimerId;

use super::conn::{Conn, Phase, ReadEnd};
use super::poll::Interest;
use super::{Alarm, FEED, Server};
use crate::config::ListEvent;
use crate::coordinator;

/// A comment comes each second; a stream without one for this long is dead.
const SILENCE_US: u64 = 2_500_000;
/// Between two tries to open the stream.
const RETRY_US: u64 = 200_000;

/// Where the stream stands.
pub struct Feed {
    last: u64,
    up: Option<(Conn, coordinator::Stream)>,
    /// Tells this stream from others before it, for the poller.
    serial: u32,
    opened_us: Option<u64>,
    heard_us: u64,
    /// Rings when the stream must be opened, or when it has been silent for too long.
    timer: Option<TimerId>,
    /// The event that could not be read when it came last.
    unreadable: u64,
}

impl Feed {
    pub(super) fn new(last: u64) -> Self {
        Self { last, up: None, serial: 0, opened_us: None, heard_us: 0, timer: None, unreadable: 0 }
    }

    fn key(&self) -> u64 {
        FEED | u64::from(self.serial)
    }
}

impl Server {
    /// Opens the stream where it is down, drops it where it is silent.
    pub(super) fn look_at_feed(&mut self) {
        let now_us = self.time.now_us;
        if self.feed.up.is_some() {
            if now_us.saturating_sub(self.feed.heard_us) <= SILENCE_US {
                return self.await_feed();
            }
            tracing::warn!("the coordinator is silent");
            self.close_feed();
        }
        let Some(address) = self.config.coordinator else { return };
        // A coordinator that ends its streams at once is not asked without a pause.
        if self.feed.opened_us.is_some_and(|at| now_us < at + RETRY_US) {
            return self.await_feed();
        }
        self.feed.opened_us = Some(now_us);
        self.feed.serial = self.feed.serial.wrapping_add(1);
        match Conn::connect(&self.poll, address, self.feed.key(), 1 << 20) {
            Ok(mut conn) => {
                coordinator::open(self.feed.last, &mut conn.output);
                self.feed.up = Some((conn, coordinator::Stream::new(self.config.memory)));
                self.feed.heard_us = now_us;
                self.counters.list_connects += 1;
            }
            Err(e) => tracing::warn!("coordinator at {address}: {e}"),
        }
        self.await_feed();
    }

    /// Sets the timer for what is due next.
    fn await_feed(&mut self) {
        let due_us = match (&self.feed.up, self.feed.opened_us) {
            (Some(_), _) => self.feed.heard_us + SILENCE_US + 1,
            (None, opened) => opened.map_or(self.time.now_us, |at| at + RETRY_US),
        };
        if !self.feed.timer.is_some_and(|timer| self.timers.rearm(timer, due_us)) {
            self.feed.timer = Some(self.timers.arm(due_us, Alarm::Feed));
        }
    }

    /// Follows another coordinator from now on, behind the last event: the numbers go on.
    pub(super) fn move_feed(&mut self, to: SocketAddr) {
        if self.config.coordinator.replace(to) == Some(to) {
            return;
        }
        self.close_feed();
        self.feed.opened_us = None;
        self.look_at_feed();
    }

    /// Takes in an event, unless it is old: some come twice, as they may round a broken stream.
    pub(super) fn list_event(&mut self, event: &ListEvent) {
        if event.index > self.feed.last {
            self.feed.last = event.index;
            self.listed(event);
        }
    }

    pub(super) fn feed_ready(&mut self, key: u64, interest: Interest) {
        if key != self.feed.key() {
            return;
        }
        let Some((conn, _)) = &mut self.feed.up else { return };
        if conn.phase == Phase::Connecting {
            if !interest.write && !interest.read {
                return;
            }
            if conn.finish_connect().is_err() {
                return self.feed_lost();
            }
        }
        if interest.read {
            if conn.is_cut_off() {
                return self.feed_lost();
            }
            let end = conn.fill(usize::MAX);
            self.feed_read(end);
        }
        self.flush_feed();
    }

    fn flush_feed(&mut self) {
        let key = self.feed.key();
        let Some((conn, _)) = &mut self.feed.up else { return };
        if conn.phase != Phase::Connecting && (conn.flush().is_err() || conn.update(&self.poll, key).is_err())
        {
            self.feed_lost();
        }
    }

    fn feed_read(&mut self, end: ReadEnd) {
        self.feed.heard_us = self.time.now_us;
        let Some((conn, stream)) = &mut self.feed.up else { return };
        let mut events = Vec::new();
        let read = stream.read(&mut conn.input, &mut events);
        for event in &events {
            // The same as for one of which nothing can be read; meanwhile its good part counts.
            if !event.unread.is_empty() && event.index > self.feed.last && self.feed.unreadable != event.index
            {
                self.feed.unreadable = event.index;
                self.listed(event);
                return self.feed_lost();
            }
            self.list_event(event);
        }
        if let Err(e) = read {
            tracing::warn!("{e}");
            // It may have been spoilt on its way and is asked for once more. One that still can't be read is
            // passed over, or no later one would ever come through.
            if let coordinator::StreamError::BadEvent(id, _) = e {
                if self.feed.unreadable == id {
                    self.feed.last = self.feed.last.max(id);
                }
                self.feed.unreadable = id;
            }
            return self.feed_lost();
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.feed_lost();
        }
        self.await_feed();
    }

    fn close_feed(&mut self) {
        if let Some((conn, _)) = self.feed.up.take() {
            conn.close(&self.poll);
        }
    }

    fn feed_lost(&mut self) {
        self.close_feed();
        self.await_feed();
    }
}

//! The connection to the coordinator.

use std::net::SocketAddr;

use wrenhatch_sessions::timer_wheel::TimerId;

use super::conn::{Conn, Phase, ReadEnd};
use super::poll::Interest;
use super::{Server, Timer, WATCH};
use crate::discovery::{
    EndpointListEvent, EndpointStream, EndpointStreamError, SilenceDetector, write_stream_request,
};

/// Between two tries to open the stream, give or take a quarter: all gateways lose theirs in the same moment.
const RETRY_US: u64 = 200_000;
/// A connection that is not up within this is tried anew: one that was begun while the network was cut may come up
/// long after that has healed.
const CONNECT_US: u64 = 1_000_000;
/// A stream that had been up for longer is opened again within this, each gateway at a moment of its own. Drains may
/// be told meanwhile, so it is short.
const SPREAD_US: u64 = 100_000;
/// Events kept while one before them is asked for again.
const MOST_AHEAD: usize = 1024;

/// Where the stream stands.
pub struct Watch {
    last: u64,
    up: Option<(Conn, EndpointStream)>,
    /// Tells this stream from others before it, for the poller.
    serial: u32,
    silence: SilenceDetector,
    opened_us: u64,
    /// When it may be opened again.
    again_us: u64,
    /// Rings when the stream must be opened, or when it has been silent for too long.
    timer: Option<TimerId>,
    /// The event that could not be read when it came last.
    unreadable: u64,
    /// The event before which others were missing when it came last: they are asked for again, once.
    after_gap: u64,
    /// What has come since they were asked for, up to that event: told bit by bit, an older word on an engine would
    /// count for a moment though a newer one is known.
    ahead: Vec<EndpointListEvent>,
}

impl Watch {
    /// A stream behind event `last`; `chance`, from 0 to 1, is this gateway's own.
    pub(super) fn new(last: u64, chance: f64) -> Self {
        Self {
            last,
            up: None,
            serial: 0,
            silence: SilenceDetector::new(chance),
            opened_us: 0,
            again_us: 0,
            timer: None,
            unreadable: 0,
            after_gap: 0,
            ahead: Vec::new(),
        }
    }

    fn key(&self) -> u64 {
        WATCH | u64::from(self.serial)
    }

    /// When something must have happened: it must be up, something heard, or it may be opened again.
    fn due_us(&self) -> u64 {
        match &self.up {
            Some((conn, _)) if conn.phase == Phase::Connecting => self.opened_us + CONNECT_US,
            Some(_) => self.silence.deadline_us(),
            None => self.again_us,
        }
    }

    /// Takes an event in its turn; what is to be listed now, in order. `Err`: events before it are missing. What was
    /// kept ahead of them stays, and is listed when the stream is closed.
    fn take(&mut self, event: EndpointListEvent) -> Result<Vec<EndpointListEvent>, ()> {
        if event.index <= self.last {
            // It comes twice, as events may round a broken stream.
            return Ok(Vec::new());
        }
        if event.index > self.last + 1 && !event.is_full && self.after_gap != event.index {
            self.after_gap = event.index;
            return Err(());
        }
        self.last = event.index;
        self.ahead.push(event);
        if self.last < self.after_gap && self.ahead.len() < MOST_AHEAD {
            return Ok(Vec::new());
        }
        Ok(std::mem::take(&mut self.ahead))
    }
}

impl Server {
    /// Opens the stream where it is down, drops it where it is silent.
    pub(super) fn check_watch(&mut self) {
        let now_us = self.time.now_us;
        if self.watch.up.is_some() {
            if now_us < self.watch.due_us() {
                return self.await_watch();
            }
            tracing::warn!("the coordinator is silent");
            if self.watch.up.as_ref().is_some_and(|(_, stream)| stream.lines() > 0) {
                self.watch.silence.on_silence();
            }
            self.close_watch();
            // Its silence was noticed at a time of this gateway's own.
            self.watch.again_us = now_us;
        }
        let Some(address) = self.config.discovery else { return };
        // A coordinator that ends its streams at once is not asked without a pause.
        if now_us < self.watch.again_us {
            return self.await_watch();
        }
        self.pause_watch();
        self.watch.serial = self.watch.serial.wrapping_add(1);
        match self.dial(address, self.watch.key(), 1 << 20) {
            Ok(mut conn) => {
                write_stream_request(self.watch.last, &mut conn.output);
                self.watch.up = Some((conn, EndpointStream::new(self.config.memory_bytes)));
                self.watch.silence.on_open(now_us);
                self.watch.opened_us = now_us;
                self.counters.list_connects += 1;
            }
            Err(e) => tracing::warn!("coordinator at {address}: {e}"),
        }
        self.await_watch();
    }

    /// The stream is not opened again before a pause is over.
    fn pause_watch(&mut self) {
        let pause_us = RETRY_US as f64 * (0.75 + 0.5 * self.chance());
        self.watch.again_us = self.time.now_us + pause_us as u64;
    }

    /// Sets the timer for what is due next.
    fn await_watch(&mut self) {
        let due_us = self.watch.due_us();
        if !self.watch.timer.is_some_and(|timer| self.timers.rearm(timer, due_us)) {
            self.watch.timer = Some(self.timers.arm(due_us, Timer::Watch));
        }
    }

    /// Follows another coordinator from now on, behind the last event: the numbers go on.
    pub(super) fn move_watch(&mut self, to: SocketAddr) {
        if self.config.discovery.replace(to) == Some(to) {
            return;
        }
        self.close_watch();
        self.watch.again_us = 0;
        self.check_watch();
    }

    /// Takes in an event that the configuration holds, unless it is old.
    pub(super) fn list_event(&mut self, event: &EndpointListEvent) {
        if event.index > self.watch.last {
            self.list_ahead();
            self.watch.last = event.index;
            self.listed(event);
        }
    }

    /// Takes in what was kept for events before it that don't come.
    fn list_ahead(&mut self) {
        let ahead = std::mem::take(&mut self.watch.ahead);
        ahead.iter().for_each(|event| self.listed(event));
    }

    pub(super) fn watch_ready(&mut self, key: u64, interest: Interest) {
        if key != self.watch.key() {
            return;
        }
        let Some((conn, _)) = &mut self.watch.up else { return };
        if conn.phase == Phase::Connecting {
            if !interest.write && !interest.read {
                return;
            }
            if conn.finish_connect().is_err() {
                return self.watch_lost();
            }
            self.watch.silence.on_open(self.time.now_us);
            self.await_watch();
        }
        let Some((conn, _)) = &mut self.watch.up else { return };
        if interest.read {
            if conn.is_cut_off() {
                return self.watch_lost();
            }
            let end = conn.fill(usize::MAX);
            self.watch_read(end);
        }
        self.flush_watch();
    }

    fn flush_watch(&mut self) {
        let key = self.watch.key();
        let Some((conn, _)) = &mut self.watch.up else { return };
        if conn.phase != Phase::Connecting && (conn.flush().is_err() || conn.update(&self.poll, key).is_err())
        {
            self.watch_lost();
        }
    }

    fn watch_read(&mut self, end: ReadEnd) {
        let now_us = self.time.now_us;
        let Some((conn, stream)) = &mut self.watch.up else { return };
        let (mut events, before) = (Vec::new(), stream.lines());
        let read = stream.read(&mut conn.input, &mut events);
        if stream.lines() > before {
            self.watch.silence.on_lines(now_us, events.is_empty() && before > 0);
        }
        for event in events {
            // The same as for one of which nothing can be read; meanwhile its good part counts.
            if !event.unreadable.is_empty()
                && event.index > self.watch.last
                && self.watch.unreadable != event.index
            {
                self.watch.unreadable = event.index;
                self.listed(&event);
                return self.watch_lost();
            }
            let index = event.index;
            match self.watch.take(event) {
                Ok(listed) => listed.iter().for_each(|event| self.listed(event)),
                Err(()) => {
                    tracing::warn!(
                        index,
                        last = self.watch.last,
                        "events of the list are missing: asking again"
                    );
                    self.close_watch();
                    // Drains may be among them, for which the time runs.
                    self.watch.again_us = now_us;
                    return self.await_watch();
                }
            }
        }
        if let Err(e) = read {
            tracing::warn!("{e}");
            // It may have been spoilt on its way and is asked for once more. One that still can't be read is
            // passed over, or no later one would ever come through.
            if let EndpointStreamError::UnreadableEvent(id, _) = e {
                if self.watch.unreadable == id {
                    self.watch.last = self.watch.last.max(id);
                }
                self.watch.unreadable = id;
            }
            return self.watch_lost();
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.watch_lost();
        }
        self.await_watch();
    }

    fn close_watch(&mut self) {
        if let Some((conn, _)) = self.watch.up.take() {
            conn.close(&self.poll);
        }
        self.list_ahead();
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.sessions.secret()) / f64::from(u32::MAX)
    }

    /// The stream has ended or broken. One that had just been opened is opened again after a pause.
    fn watch_lost(&mut self) {
        self.close_watch();
        let spread_us = (SPREAD_US as f64 * self.chance()) as u64;
        self.watch.again_us = self.watch.again_us.max(self.time.now_us + spread_us);
        self.await_watch();
    }
}

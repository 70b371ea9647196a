//! The connection to the coordinator.

use std::cmp::Reverse;

use super::conn::{Conn, Phase, ReadEnd};
use super::{Alarm, FIRST_CONN, Role, Server};
use crate::coordinator;

/// A comment comes each second; a stream without one for this long is dead.
const SILENCE_US: u64 = 2_500_000;
/// Between two tries to open the stream.
const RETRY_US: u64 = 200_000;

/// Where the stream stands.
pub struct Feed {
    last: u64,
    at: Option<usize>,
    heard_us: u64,
}

impl Feed {
    pub(super) fn new(last: u64) -> Self {
        Self { last, at: None, heard_us: 0 }
    }
}

impl Server {
    /// Opens the stream where it is down, drops it where it is silent.
    pub(super) fn look_at_feed(&mut self) {
        self.alarms.push(Reverse((self.now_us + RETRY_US, Alarm::Feed)));
        if let Some(at) = self.feed.at {
            if self.now_us.saturating_sub(self.feed.heard_us) > SILENCE_US {
                tracing::warn!("the coordinator is silent");
                self.feed_lost(at);
            }
        }
        let (None, Some(address)) = (self.feed.at, self.config.coordinator) else { return };
        let at = self.place();
        match Conn::connect(&self.poll, address, at + FIRST_CONN, 1 << 20) {
            Ok(mut conn) => {
                coordinator::open(self.feed.last, &mut conn.output);
                self.put(at, conn, Role::Feed(coordinator::Stream::default()));
                (self.feed.at, self.feed.heard_us) = (Some(at), self.now_us);
                self.counters.list_connects += 1;
            }
            Err(e) => {
                tracing::warn!("coordinator at {address}: {e}");
                self.free.push(at);
            }
        }
    }

    pub(super) fn feed_read(&mut self, at: usize, end: ReadEnd) {
        self.feed.heard_us = self.now_us;
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let Role::Feed(stream) = &mut peer.role else { return };
        debug_assert!(peer.conn.phase == Phase::Open);
        let events = stream.read(&mut peer.conn.input);
        self.dirty.push(at);
        match events {
            Ok(events) => {
                for event in events {
                    // What came twice, as it may round a broken stream, is old.
                    if event.index > self.feed.last {
                        self.feed.last = event.index;
                        self.listed(&event);
                    }
                }
            }
            Err(e) => {
                tracing::warn!("{e}");
                return self.feed_lost(at);
            }
        }
        if end != ReadEnd::Later {
            self.feed_lost(at);
        }
    }

    pub(super) fn feed_lost(&mut self, at: usize) {
        self.close(at);
        self.feed.at = None;
    }
}

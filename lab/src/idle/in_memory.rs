//! Measures the session table, the timer wheel and the read scheduler without sockets, so that the number of sessions
//! is not limited by descriptors.

use std::hint::black_box;
use std::time::{Duration, Instant};

use serde::Serialize;
use wrenhatch::net::{ACTIVE_SESSION_BYTES, SUSPENDED_SESSION_BYTES};
use wrenhatch_sessions::read_scheduler::{ReadLimits, ReadPriority, ReadScheduler};
use wrenhatch_sessions::session_table::{Activity, Handle, SessionTable};
use wrenhatch_sessions::timer_wheel::TimerWheel;

use crate::gateway_process::resident_bytes;
use crate::spread::{Summary, histogram};

/// A session table whose entries have the sizes of the gateway's entries.
type Sessions = SessionTable<[u64; SUSPENDED_SESSION_BYTES / 8], [u64; ACTIVE_SESSION_BYTES / 8]>;

/// Figures of the in-memory measurement.
#[derive(Debug, Serialize)]
pub struct Figures {
    sessions: usize,
    resident_bytes_per_session: f64,
    slot_bytes: usize,
    /// Resident bytes per session after half of the sessions were woken, and all were removed and inserted again. The
    /// table reuses its memory if this does not exceed `resident_bytes_per_session`.
    resident_bytes_after_reuse: f64,
    /// Time to wake half of the sessions and to suspend them again.
    wake_half_ms: f64,
    /// Mean time of a search for a session to evict.
    yield_ns: f64,
    timers: usize,
    /// Lag of timers behind their due time.
    timer_drift: Summary,
    timer_wakeups: u64,
    timer_cpu_percent: f64,
}

fn suspend(table: &mut Sessions, handle: Handle, now_us: u64) {
    table.set_activity(handle, Activity::Idle, now_us);
    table.suspend(handle, |active| Ok([active[0]; SUSPENDED_SESSION_BYTES / 8]));
}

fn insert_all(table: &mut Sessions, n: usize) -> Vec<Handle> {
    (0..n)
        .map(|i| {
            let handle = table.insert(i as u64, Box::new([i as u64; ACTIVE_SESSION_BYTES / 8]));
            suspend(table, handle, i as u64);
            handle
        })
        .collect()
}

/// Wakes half of the sessions through the read scheduler, suspends them again, and returns the duration.
fn wake_half(table: &mut Sessions, handles: &[Handle], now_us: u64) -> Duration {
    let mut scheduler = ReadScheduler::new(ReadLimits::default());
    let began = Instant::now();
    for handle in handles.iter().step_by(2) {
        if table.set_queued(*handle) {
            scheduler.enqueue(*handle, ReadPriority::LongIdle, handle.index % 1000, now_us);
        }
    }
    while scheduler.waiting() > 0 {
        let turn = Instant::now();
        while let Some(read) = scheduler.next_read(now_us) {
            if table.clear_queued(read.handle) {
                table.resume(read.handle, now_us, |suspended| {
                    Box::new([suspended[0]; ACTIVE_SESSION_BYTES / 8])
                });
                suspend(table, read.handle, now_us);
            }
        }
        scheduler.end_turn(turn.elapsed().as_micros() as u64);
    }
    began.elapsed()
}

/// Arms `n` timers, alternately for 3 s and 20 s after start times that are spread over one second, and waits until all
/// have expired. Returns their lag, the number of wake-ups, and the time spent on expired timers in percent of the
/// total time.
fn timer_drift(n: usize) -> (Summary, u64, f64) {
    let mut wheel = TimerWheel::new();
    let clock = Instant::now();
    let now = || clock.elapsed().as_micros() as u64;
    let span_us = if n > 0 { 1e6 / n as f64 } else { 0.0 };
    for i in 0..n {
        let armed_us = (i as f64 * span_us) as u64;
        wheel.arm(armed_us + if i % 2 == 0 { 3_000_000 } else { 20_000_000 }, i);
    }
    let mut lag = histogram();
    let (mut wakeups, mut busy) = (0, Duration::ZERO);
    while let Some(at_us) = wheel.next_us() {
        let now_us = now();
        if at_us > now_us {
            std::thread::sleep(Duration::from_micros(at_us - now_us));
        }
        let (began, now_us) = (Instant::now(), now());
        wakeups += 1;
        while let Some((due_us, value)) = wheel.pop(now_us) {
            black_box(value);
            lag.saturating_record(now_us - due_us);
        }
        busy += began.elapsed();
    }
    (Summary::from(&lag), wakeups, 100.0 * busy.as_secs_f64() / clock.elapsed().as_secs_f64())
}

/// Runs all measurements for `n` sessions.
pub fn measure(n: usize) -> anyhow::Result<Figures> {
    let bytes_before = resident_bytes(std::process::id())?;
    let mut table = Sessions::new();
    let mut handles = Vec::with_capacity(n);
    // The list of handles is not part of the table, so its size is subtracted.
    let handles_bytes = n * size_of::<Handle>();
    handles.extend(insert_all(&mut table, n));
    let per_session =
        |bytes: u64| (bytes.saturating_sub(bytes_before) as f64 - handles_bytes as f64) / n as f64;
    let bytes_first = per_session(resident_bytes(std::process::id())?);
    let wake = wake_half(&mut table, &handles, n as u64);
    let began = Instant::now();
    let rounds = 100_000;
    for _ in 0..rounds {
        black_box(table.eviction_candidate(black_box(n as u64), n / 4));
    }
    let yield_ns = began.elapsed().as_nanos() as f64 / f64::from(rounds);
    for handle in handles.drain(..) {
        table.remove(handle);
    }
    handles.extend(insert_all(&mut table, n));
    let bytes_reused = per_session(resident_bytes(std::process::id())?);
    let (timer_drift, timer_wakeups, timer_cpu_percent) = timer_drift(n);
    Ok(Figures {
        sessions: table.len(),
        resident_bytes_per_session: bytes_first,
        slot_bytes: Sessions::slot_bytes(),
        resident_bytes_after_reuse: bytes_reused,
        wake_half_ms: wake.as_secs_f64() * 1e3,
        yield_ns,
        timers: n,
        timer_drift,
        timer_wakeups,
        timer_cpu_percent,
    })
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "sessions in memory           {}", self.sessions)?;
        writeln!(
            f,
            "resident for each            {:.0} bytes (slot {}), after reuse {:.0}",
            self.resident_bytes_per_session, self.slot_bytes, self.resident_bytes_after_reuse
        )?;
        writeln!(f, "half woken and parked again  {:.1} ms", self.wake_half_ms)?;
        writeln!(f, "place to yield               {:.0} ns", self.yield_ns)?;
        writeln!(f, "drift of 3 s and 20 s timers {}", self.timer_drift)?;
        write!(
            f,
            "wake-ups for these timers    {} ({:.2}% of a core)",
            self.timer_wakeups, self.timer_cpu_percent
        )
    }
}

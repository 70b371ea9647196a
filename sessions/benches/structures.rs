//! Benchmarks the timer wheel against a binary heap with lazy deletion, and the selection of the eviction candidate
//! against a scan of all sessions.
//!
//! `cargo bench -p wrenhatch-sessions`

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use divan::{Bencher, black_box};
use wrenhatch_sessions::session_table::{Activity, SessionTable};
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

fn main() {
    divan::main();
}

const SIZES: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];

/// Returns pseudorandom due times from 1 s to 21 s.
fn times(n: usize) -> Vec<u64> {
    let mut state = 7_u64;
    let next = |_| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        1_000_000 + (state >> 33) % 20_000_000
    };
    (0..n).map(next).collect()
}

/// A heap in which cancelled timers stay until they are due. Generations distinguish them from armed timers.
#[derive(Default)]
struct Heap {
    heap: BinaryHeap<Reverse<(u64, u32, u32)>>,
    generations: Vec<u32>,
}

impl Heap {
    fn arm(&mut self, at_us: u64, index: u32) {
        self.heap.push(Reverse((at_us, index, self.generations[index as usize])));
    }

    fn cancel(&mut self, index: u32) {
        self.generations[index as usize] += 1;
    }

    fn pop(&mut self, now_us: u64) -> Option<(u64, u32)> {
        while let Some(Reverse((at_us, index, generation))) = self.heap.peek().copied() {
            if at_us > now_us {
                return None;
            }
            self.heap.pop();
            if self.generations[index as usize] == generation {
                return Some((at_us, index));
            }
        }
        None
    }
}

fn heap(times: &[u64]) -> Heap {
    let mut heap = Heap { heap: BinaryHeap::new(), generations: vec![0; times.len()] };
    times.iter().zip(0..).for_each(|(at, i)| heap.arm(*at, i));
    heap
}

fn wheel(times: &[u64]) -> (TimerWheel<u32>, Vec<TimerId>) {
    let mut wheel = TimerWheel::new();
    let ids = times.iter().zip(0..).map(|(at, i)| wheel.arm(*at, i)).collect();
    (wheel, ids)
}

/// Arms all timers, in memory that earlier timers have used.
#[divan::bench_group(sample_count = 20, sample_size = 1)]
mod arm {
    use super::*;

    #[divan::bench(args = SIZES)]
    fn wheel_(bencher: Bencher, n: usize) {
        let inputs = || {
            let (mut wheel, ids) = wheel(&times(n));
            ids.iter().for_each(|id| {
                wheel.cancel(*id);
            });
            (wheel, times(n))
        };
        bencher.with_inputs(inputs).bench_refs(|(wheel, times)| {
            times.iter().zip(0..).for_each(|(at, i)| {
                black_box(wheel.arm(*at, i));
            });
        });
    }

    #[divan::bench(args = SIZES)]
    fn heap_(bencher: Bencher, n: usize) {
        let inputs = || {
            let mut heap = heap(&times(n));
            heap.heap.clear();
            (heap, times(n))
        };
        bencher.with_inputs(inputs).bench_refs(|(heap, times)| {
            times.iter().zip(0..).for_each(|(at, i)| heap.arm(*at, i));
        });
    }
}

/// Cancels all timers, and pops once, which removes the entries of cancelled timers from the heap.
#[divan::bench_group(sample_count = 20, sample_size = 1)]
mod cancel_and_remove {
    use super::*;

    #[divan::bench(args = SIZES)]
    fn wheel_(bencher: Bencher, n: usize) {
        bencher.with_inputs(|| wheel(&times(n))).bench_refs(|(wheel, ids)| {
            ids.iter().for_each(|id| {
                black_box(wheel.cancel(*id));
            });
            wheel.pop(30_000_000)
        });
    }

    #[divan::bench(args = SIZES)]
    fn heap_(bencher: Bencher, n: usize) {
        bencher.with_inputs(|| heap(&times(n))).bench_refs(|heap| {
            (0..n as u32).for_each(|i| heap.cancel(i));
            heap.pop(30_000_000)
        });
    }
}

/// Fires all timers, in steps of a millisecond.
#[divan::bench_group(sample_count = 20, sample_size = 1)]
mod expire {
    use super::*;

    #[divan::bench(args = SIZES)]
    fn wheel_(bencher: Bencher, n: usize) {
        bencher.with_inputs(|| wheel(&times(n)).0).bench_refs(|wheel| {
            for ms in 1_000..=21_000 {
                while let Some(fired) = wheel.pop(ms * 1_000) {
                    black_box(fired);
                }
            }
        });
    }

    #[divan::bench(args = SIZES)]
    fn heap_(bencher: Bencher, n: usize) {
        bencher.with_inputs(|| heap(&times(n))).bench_refs(|heap| {
            for ms in 1_000..=21_000 {
                while let Some(fired) = heap.pop(ms * 1_000) {
                    black_box(fired);
                }
            }
        });
    }
}

/// Arms and cancels timeouts of 20 s for `n` sessions: a million operations within 40 s of simulated time. Few timers
/// fire, except with a million sessions.
#[divan::bench_group(sample_count = 5, sample_size = 1)]
mod arm_and_cancel_over_time {
    use super::*;

    const ROUNDS: u64 = 1_000_000;

    #[divan::bench(args = SIZES)]
    fn wheel_(bencher: Bencher, n: usize) {
        bencher.with_inputs(|| wheel(&times(n))).bench_refs(|(wheel, ids)| {
            for round in 0..ROUNDS {
                let (now_us, at) = (round * 40, (round as usize * 7919) % n);
                while let Some(fired) = wheel.pop(now_us) {
                    black_box(fired);
                }
                wheel.cancel(ids[at]);
                ids[at] = wheel.arm(now_us + 20_000_000, at as u32);
            }
        });
    }

    #[divan::bench(args = SIZES)]
    fn heap_(bencher: Bencher, n: usize) {
        bencher.with_inputs(|| heap(&times(n))).bench_refs(|heap| {
            for round in 0..ROUNDS {
                let (now_us, at) = (round * 40, (round as usize * 7919) % n);
                while let Some(fired) = heap.pop(now_us) {
                    black_box(fired);
                }
                heap.cancel(at as u32);
                heap.arm(now_us + 20_000_000, at as u32);
            }
        });
    }
}

/// Selects the session to evict.
mod eviction_candidate {
    use super::*;

    type ScanEntry = Option<(u64, Activity, [u64; 40])>;

    const SESSIONS: [usize; 3] = [1_000, 10_000, 100_000];

    #[divan::bench(args = SESSIONS)]
    fn lists(bencher: Bencher, n: usize) {
        let mut table: SessionTable<u64, [u64; 40]> = SessionTable::new();
        for i in 0..n as u64 {
            let handle = table.insert(i, Box::new([i; 40]));
            table.set_activity(handle, Activity::Idle, i);
            table.suspend(handle, |active| Ok(active[0]));
        }
        bencher.bench_local(|| table.eviction_candidate(black_box(10_000_000), n / 4));
    }

    #[divan::bench(args = SESSIONS)]
    fn scan(bencher: Bencher, n: usize) {
        // The state of a session is stored in line, so that the scan reads one entry per session.
        let entries: Vec<ScanEntry> = (0..n as u64).map(|i| Some((i, Activity::Idle, [i; 40]))).collect();
        bencher.bench_local(|| {
            let rank = |(at, p): (usize, &ScanEntry)| match p {
                Some((since, Activity::Idle, _)) => Some((2, *since, at)),
                Some((since, Activity::IncompleteMessage, _)) if black_box(10_000_000) - since > 100_000 => {
                    Some((1, *since, at))
                }
                _ => None,
            };
            entries.iter().enumerate().filter_map(rank).min()
        });
    }
}

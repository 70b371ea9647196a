use super::*;
use crate::session_table::SessionTable;

fn handles(n: usize) -> Vec<Handle> {
    let mut table: SessionTable<(), ()> = SessionTable::new();
    (0..n).map(|_| table.insert(0, Box::new(()))).collect()
}

/// Returns a scheduler whose cost model has learned `read_us` as the cost of a read.
fn scheduler_with_read_cost(read_us: f64) -> ReadScheduler {
    let mut scheduler = ReadScheduler::new(ReadLimits { turn_us: 4_000, ..ReadLimits::default() });
    for _ in 0..500 {
        scheduler.charge(Work::Read, 10);
        scheduler.end_turn((read_us * 10.0) as u64);
    }
    scheduler
}

fn read_turn(scheduler: &mut ReadScheduler, now_us: u64) -> Vec<ScheduledRead> {
    std::iter::from_fn(|| scheduler.next_read(now_us)).collect()
}

#[test]
fn the_number_of_reads_in_a_turn_follows_the_learned_cost() {
    let all = handles(2000);
    for (cost, expected) in [(10.0, 400), (40.0, 100), (200.0, 20)] {
        let mut scheduler = scheduler_with_read_cost(cost);
        all.iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
        let reads = read_turn(&mut scheduler, 0).len();
        assert!(reads.abs_diff(expected) <= expected / 10, "{reads} reads at a cost of {cost} us");
    }
    let mut slow = scheduler_with_read_cost(20_000.0);
    all.iter().for_each(|h| slow.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    assert_eq!(read_turn(&mut slow, 0).len(), MIN_READS_PER_TURN, "every turn makes progress");
}

#[test]
fn a_recently_active_session_is_not_delayed_by_a_surge_of_idle_ones() {
    let all = handles(5001);
    let mut scheduler = scheduler_with_read_cost(40.0);
    all[..5000].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    read_turn(&mut scheduler, 0);
    scheduler.end_turn(4000);
    scheduler.enqueue(all[5000], ReadPriority::RecentlyActive, 1, 4000);
    let second = read_turn(&mut scheduler, 4000);
    assert!(second[..2].iter().any(|p| p.handle == all[5000]), "read in its first turn");
}

#[test]
fn an_empty_queue_gains_no_credit_while_others_are_served() {
    let all = handles(5001);
    let mut scheduler = scheduler_with_read_cost(40.0);
    for n in 0..10_000 {
        scheduler.enqueue(all[5000], ReadPriority::RecentlyActive, 1, n);
        assert_eq!(read_turn(&mut scheduler, n).len(), 1);
        scheduler.end_turn(40);
    }
    all[..5000].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 2, 0));
    read_turn(&mut scheduler, 0);
    scheduler.end_turn(4000);
    scheduler.enqueue(all[5000], ReadPriority::RecentlyActive, 1, 0);
    assert!(read_turn(&mut scheduler, 0)[..4].iter().any(|p| p.handle == all[5000]));
}

#[test]
fn no_priority_starves() {
    let all = handles(400);
    let mut scheduler = scheduler_with_read_cost(400.0);
    let priorities = [
        ReadPriority::PartialMessage,
        ReadPriority::RecentlyActive,
        ReadPriority::LongIdle,
        ReadPriority::Starting,
    ];
    let mut served = [0; 4];
    let mut next = all.iter();
    // Each queue gets more sessions than can be read in all turns.
    for (i, s) in priorities.iter().enumerate() {
        next.by_ref().take(100).for_each(|h| scheduler.enqueue(*h, *s, i as u32, 0));
    }
    for _ in 0..8 {
        for read in read_turn(&mut scheduler, 0) {
            served[read.handle.index as usize / 100] += 1;
        }
        scheduler.end_turn(4000);
    }
    let [partial, active, idle, starting] = served;
    assert!(
        starting >= 5 && idle >= 2 * starting - 2 && active >= 2 * idle - 2 && partial >= active - 1,
        "{served:?}"
    );
}

#[test]
fn a_surge_from_one_address_does_not_delay_another() {
    let all = handles(1001);
    let mut scheduler = scheduler_with_read_cost(40.0);
    all[..1000].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    scheduler.enqueue(all[1000], ReadPriority::LongIdle, 2, 0);
    assert_eq!(read_turn(&mut scheduler, 0)[1].handle, all[1000]);
    assert_eq!(scheduler.waiting(), 1001 - 100);
}

#[test]
fn open_requests_are_read_even_if_the_turn_is_full() {
    let all = handles(300);
    let mut scheduler = scheduler_with_read_cost(400.0);
    all[..200].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::PartialMessage, 1, 0));
    read_turn(&mut scheduler, 0);
    all[200..].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::OpenRequest, 1, 0));
    assert_eq!(read_turn(&mut scheduler, 0).len(), 100);
}

#[test]
fn retries_are_spread_at_a_rate_that_can_be_served() {
    let mut scheduler = scheduler_with_read_cost(100.0);
    scheduler.limits.max_retry_after_ms = 60_000;
    let cost_us = scheduler.costs.cost_us(Work::Read) + scheduler.costs.cost_us(Work::Request);
    let mut waits: Vec<u64> = (0..10_000).map(|_| scheduler.retry_after_ms(1_000_000)).collect();
    assert!(waits[0] >= scheduler.limits.min_retry_after_ms);
    let span_ms = waits[9_999] - waits[0];
    let expected = 10_000.0 * cost_us / RETRY_CORE_RATIO / 1e3;
    assert!((span_ms as f64 - expected).abs() < 0.01 * expected, "{span_ms} ms, not {expected} ms");
    // If Retry-After is limited to half a second, retries are still spread evenly.
    scheduler.limits.max_retry_after_ms = 500;
    waits = (0..10_000).map(|_| scheduler.retry_after_ms(1_000_000)).collect();
    let mut buckets = [0; 10];
    waits.iter().for_each(|w| buckets[(*w as usize * 10 / 501).min(9)] += 1);
    assert!(waits.iter().all(|w| (20..=500).contains(w)));
    assert!(buckets.iter().all(|n| (500..1500).contains(n)), "{buckets:?}");
}

#[test]
fn a_session_that_would_be_read_too_late_is_expedited() {
    let all = handles(10_000);
    let mut scheduler = scheduler_with_read_cost(400.0);
    all.iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    // A read costs 400 us and a request 40 us. Half of the shortest deadline is 1.5 s.
    let first_late = all.iter().position(|h| h.index as u64 * 440 > 1_500_000).unwrap();
    let mut expedited = Vec::new();
    for _ in 0..20 {
        expedited.extend(read_turn(&mut scheduler, 0).into_iter().filter(|p| p.expedited));
        scheduler.end_turn(4000);
    }
    assert!(expedited.len() >= 80, "{} sessions were expedited", expedited.len());
    assert!(expedited.iter().all(|p| p.handle.index as usize + 10 >= first_late));
    assert!(!ReadScheduler::can_meet_deadline(0, scheduler.backlog_us(), 1_000_000));
}

#[test]
fn a_request_meets_its_deadline_only_if_the_work_before_it_ends_earlier() {
    let mut scheduler = scheduler_with_read_cost(40.0);
    handles(1000).iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    let work_us = scheduler.backlog_us();
    assert!(work_us >= 1000 * 40);
    assert!(ReadScheduler::can_meet_deadline(500, work_us, 501 + work_us));
    assert!(!ReadScheduler::can_meet_deadline(500, work_us, 500 + work_us));
}

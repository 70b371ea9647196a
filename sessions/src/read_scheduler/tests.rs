use super::*;
use crate::session_table::SessionTable;

fn handles(n: usize) -> Vec<Handle> {
    let mut table: SessionTable<(), ()> = SessionTable::new();
    (0..n).map(|_| table.insert(0, Box::new(()))).collect()
}

/// A scheduler that has learned that a read costs `read_us` and nothing else anything.
fn learned(read_us: f64) -> ReadScheduler {
    let mut scheduler = ReadScheduler::new(ReadLimits { turn_us: 4_000, ..ReadLimits::default() });
    for _ in 0..500 {
        scheduler.charge(Work::Read, 10);
        scheduler.end_turn((read_us * 10.0) as u64);
    }
    scheduler
}

fn turn(scheduler: &mut ReadScheduler, now_us: u64) -> Vec<ScheduledRead> {
    std::iter::from_fn(|| scheduler.next_read(now_us)).collect()
}

#[test]
fn a_turn_carries_what_earlier_turns_have_cost() {
    let all = handles(2000);
    for (cost, about) in [(10.0, 400), (40.0, 100), (200.0, 20)] {
        let mut scheduler = learned(cost);
        all.iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
        let picked = turn(&mut scheduler, 0).len();
        assert!(picked.abs_diff(about) <= about / 10, "{picked} reads at {cost}");
    }
    let mut slow = learned(20_000.0);
    all.iter().for_each(|h| slow.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    assert_eq!(turn(&mut slow, 0).len(), MIN_READS_PER_TURN, "it always gets on");
}

#[test]
fn a_recently_active_session_does_not_wait_for_a_surge_of_idle_ones() {
    let all = handles(5001);
    let mut scheduler = learned(40.0);
    all[..5000].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    turn(&mut scheduler, 0);
    scheduler.end_turn(4000);
    scheduler.enqueue(all[5000], ReadPriority::RecentlyActive, 1, 4000);
    let second = turn(&mut scheduler, 4000);
    assert!(second[..2].iter().any(|p| p.handle == all[5000]), "it is read in its first turn");
}

#[test]
fn an_empty_queue_gains_no_credit_while_others_are_served() {
    let all = handles(5001);
    let mut scheduler = learned(40.0);
    for n in 0..10_000 {
        scheduler.enqueue(all[5000], ReadPriority::RecentlyActive, 1, n);
        assert_eq!(turn(&mut scheduler, n).len(), 1);
        scheduler.end_turn(40);
    }
    all[..5000].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 2, 0));
    turn(&mut scheduler, 0);
    scheduler.end_turn(4000);
    scheduler.enqueue(all[5000], ReadPriority::RecentlyActive, 1, 0);
    assert!(turn(&mut scheduler, 0)[..4].iter().any(|p| p.handle == all[5000]));
}

#[test]
fn no_priority_starves_whatever_else_is_ready() {
    let all = handles(400);
    let mut scheduler = learned(400.0);
    let priorities = [
        ReadPriority::PartialMessage,
        ReadPriority::RecentlyActive,
        ReadPriority::LongIdle,
        ReadPriority::Starting,
    ];
    let mut served = [0; 4];
    let mut next = all.iter();
    // There is always more of each than fits.
    for (i, s) in priorities.iter().enumerate() {
        next.by_ref().take(100).for_each(|h| scheduler.enqueue(*h, *s, i as u32, 0));
    }
    for _ in 0..8 {
        for pick in turn(&mut scheduler, 0) {
            served[pick.handle.index as usize / 100] += 1;
        }
        scheduler.end_turn(4000);
    }
    let [begun, active, woken, new] = served;
    assert!(new >= 5 && woken >= 2 * new - 2 && active >= 2 * woken - 2 && begun >= active - 1, "{served:?}");
}

#[test]
fn a_surge_from_one_address_does_not_keep_another_waiting() {
    let all = handles(1001);
    let mut scheduler = learned(40.0);
    all[..1000].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    scheduler.enqueue(all[1000], ReadPriority::LongIdle, 2, 0);
    assert_eq!(turn(&mut scheduler, 0)[1].handle, all[1000]);
    assert_eq!(scheduler.waiting(), 1001 - 100);
}

#[test]
fn open_requests_go_first_even_when_the_turn_is_full() {
    let all = handles(300);
    let mut scheduler = learned(400.0);
    all[..200].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::PartialMessage, 1, 0));
    turn(&mut scheduler, 0);
    all[200..].iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::OpenRequest, 1, 0));
    assert_eq!(turn(&mut scheduler, 0).len(), 100);
}

#[test]
fn retries_are_spread_at_the_rate_at_which_they_can_be_served() {
    let mut scheduler = learned(100.0);
    scheduler.limits.max_retry_after_ms = 60_000;
    let each = scheduler.costs.cost_us(Work::Read) + scheduler.costs.cost_us(Work::Request);
    let mut waits: Vec<u64> = (0..10_000).map(|_| scheduler.retry_after_ms(1_000_000)).collect();
    assert!(waits[0] >= scheduler.limits.min_retry_after_ms);
    let span_ms = waits[9_999] - waits[0];
    let wanted = 10_000.0 * each / RETRY_CORE_RATIO / 1e3;
    assert!((span_ms as f64 - wanted).abs() < 0.01 * wanted, "{span_ms} ms, not {wanted}");
    // Where a Retry-After is half a second at most, retries still don't come together.
    scheduler.limits.max_retry_after_ms = 500;
    waits = (0..10_000).map(|_| scheduler.retry_after_ms(1_000_000)).collect();
    let mut buckets = [0; 10];
    waits.iter().for_each(|w| buckets[(*w as usize * 10 / 501).min(9)] += 1);
    assert!(waits.iter().all(|w| (20..=500).contains(w)));
    assert!(buckets.iter().all(|n| (500..1500).contains(n)), "{buckets:?}");
}

#[test]
fn a_session_that_would_be_reached_too_late_is_read_ahead_of_its_turn() {
    let all = handles(10_000);
    let mut scheduler = learned(400.0);
    all.iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    let behind = all.iter().position(|h| h.index as u64 * 440 > 1_500_000).unwrap();
    let mut early = Vec::new();
    for _ in 0..20 {
        early.extend(turn(&mut scheduler, 0).into_iter().filter(|p| p.read_ahead));
        scheduler.end_turn(4000);
    }
    assert!(early.len() >= 80, "{}: half of every turn", early.len());
    assert!(early.iter().all(|p| p.handle.index as usize + 10 >= behind));
    assert!(!ReadScheduler::can_meet_deadline(0, scheduler.backlog_us(), 1_000_000));
}

#[test]
fn a_request_misses_its_deadline_only_if_the_work_before_it_takes_longer() {
    let mut scheduler = learned(40.0);
    handles(1000).iter().for_each(|h| scheduler.enqueue(*h, ReadPriority::LongIdle, 1, 0));
    let work = scheduler.backlog_us();
    assert!(work >= 1000 * 40);
    assert!(ReadScheduler::can_meet_deadline(500, work, 501 + work));
    assert!(!ReadScheduler::can_meet_deadline(500, work, 500 + work));
}

use super::*;

fn messages_sent(pacing: Pacing, bytes: usize, seconds: u64) -> u64 {
    let mut pacer = Pacer::new(pacing);
    let (mut now_us, mut count) = (0, 0);
    while now_us < seconds * 1_000_000 {
        pacer.spend(now_us, bytes);
        count += 1;
        now_us = now_us.max(pacer.free_at_us());
    }
    count
}

#[test]
fn both_rates_are_enforced_and_idle_time_does_not_accumulate() {
    let pacing = Pacing { bytes_per_second: 100_000, messages_per_second: 50, min_interval_us: 0 };
    assert!((500..=503).contains(&messages_sent(pacing, 10, 10)), "messages");
    assert!((100..=103).contains(&messages_sent(pacing, 10_000, 10)), "bytes");
    let mut pacer = Pacer::new(pacing);
    pacer.spend(60_000_000, 10_000);
    assert_eq!(pacer.free_at_us(), 60_100_000 - BURST_US);
}

#[test]
fn a_message_larger_than_the_burst_is_sent_and_delays_the_next() {
    let pacing = Pacing { bytes_per_second: 1_000, messages_per_second: 50, min_interval_us: 0 };
    let mut pacer = Pacer::new(pacing);
    pacer.spend(0, 5_000);
    assert_eq!(pacer.free_at_us(), 5_000_000 - BURST_US);
}

#[test]
fn a_rate_of_zero_does_not_panic() {
    let mut pacer = Pacer::new(Pacing { bytes_per_second: 0, messages_per_second: 0, min_interval_us: 0 });
    pacer.spend(u64::MAX, usize::MAX);
    assert!(pacer.free_at_us() > 0);
}

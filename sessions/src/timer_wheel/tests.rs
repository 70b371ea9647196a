use super::*;

fn pop_all<T>(wheel: &mut TimerWheel<T>, now_us: u64) -> Vec<(u64, T)> {
    std::iter::from_fn(|| wheel.pop(now_us)).collect()
}

#[test]
fn timers_with_the_same_due_time_fire_in_the_order_of_arming() {
    let mut wheel = TimerWheel::new();
    wheel.arm(20_000_000, 'a');
    assert_eq!(wheel.pop(19_999_000), None);
    wheel.arm(20_000_000, 'b');
    wheel.arm(19_999_999, 'c');
    assert_eq!(pop_all(&mut wheel, 20_000_000), [(19_999_999, 'c'), (20_000_000, 'a'), (20_000_000, 'b')]);
}

#[test]
fn a_timer_cancelled_and_armed_again_fires_once() {
    let mut wheel = TimerWheel::new();
    let first = wheel.arm(500, 1);
    assert_eq!(wheel.cancel(first), Some(1));
    let second = wheel.arm(500, 2);
    assert_eq!(wheel.cancel(first), None, "the id of a cancelled timer is invalid");
    assert!(!wheel.rearm(first, 100) && wheel.rearm(second, 700));
    assert_eq!(wheel.next_us(), Some(700));
    assert_eq!(pop_all(&mut wheel, 10_000), [(700, 2)]);
    assert!(wheel.is_empty() && wheel.next_us().is_none());
}

#[test]
fn a_clock_that_stalls_and_jumps_skips_no_timer() {
    let mut wheel = TimerWheel::new();
    for n in 0..1000_u64 {
        wheel.arm(5_000_000 + (n * 7919) % 20_000_000, n);
    }
    for _ in 0..5 {
        assert_eq!(wheel.pop(4_999_999), None, "no timer is due");
    }
    let fired = pop_all(&mut wheel, 14_999_999);
    assert!(fired.is_sorted_by_key(|f| f.0));
    let late = pop_all(&mut wheel, u64::MAX);
    assert_eq!(fired.len() + late.len(), 1000);
    assert!(late.iter().all(|l| l.0 > 14_999_999));
}

#[test]
fn the_order_is_kept_when_digits_overflow() {
    for edge in [63, 64, 4095, 4096, (1 << 18) - 1, 1 << 18, 1 << 36] {
        let mut wheel = TimerWheel::new();
        assert_eq!(wheel.pop(edge - 2), None);
        for at in [edge + 1, edge, edge - 1, edge + 64, edge + 4096] {
            wheel.arm(at, at);
        }
        let mut fired = Vec::new();
        while let Some(at) = wheel.next_us() {
            fired.extend(pop_all(&mut wheel, at));
        }
        let expected = [edge - 1, edge, edge + 1, edge + 64, edge + 4096];
        assert_eq!(fired, expected.map(|at| (at, at)));
    }
}

#[test]
fn past_due_times_are_due_at_once_and_the_maximum_due_time_is_accepted() {
    let mut wheel = TimerWheel::new();
    assert_eq!(wheel.pop(1_000_000), None);
    wheel.arm(1_000_000, 'a');
    wheel.arm(5, 'b');
    let never = wheel.arm(u64::MAX, 'c');
    assert!(wheel.next_us().is_some_and(|at| at <= 1_000_000));
    let mut due = pop_all(&mut wheel, 1_000_000);
    due.sort_unstable();
    assert_eq!(due, [(5, 'b'), (1_000_000, 'a')]);
    assert!(wheel.is_armed(never));
}

#[test]
fn a_timer_armed_between_two_pops_fires_in_order() {
    let mut wheel = TimerWheel::new();
    wheel.arm(10, 'a');
    wheel.arm(30, 'c');
    assert_eq!(wheel.pop(100), Some((10, 'a')));
    wheel.arm(20, 'b');
    assert_eq!(pop_all(&mut wheel, 100), [(20, 'b'), (30, 'c')]);
}

#[test]
fn a_cancelled_first_timer_causes_at_most_one_early_wakeup() {
    let mut wheel = TimerWheel::new();
    let first = wheel.arm(20_000_000, 1);
    wheel.arm(21_000_000, 2);
    wheel.cancel(first);
    let mut early_wakeups = 0;
    while !wheel.is_empty() {
        let at = wheel.next_us().unwrap();
        early_wakeups += usize::from(wheel.pop(at).is_none());
    }
    assert!(early_wakeups <= 1, "{early_wakeups}");
}

use super::*;

fn all<T>(wheel: &mut TimerWheel<T>, now_us: u64) -> Vec<(u64, T)> {
    std::iter::from_fn(|| wheel.pop(now_us)).collect()
}

#[test]
fn two_of_one_microsecond_fire_as_they_were_armed_however_long_before() {
    let mut wheel = TimerWheel::new();
    wheel.arm(20_000_000, 'a');
    assert_eq!(wheel.pop(19_999_000), None);
    wheel.arm(20_000_000, 'b');
    wheel.arm(19_999_999, 'c');
    assert_eq!(all(&mut wheel, 20_000_000), [(19_999_999, 'c'), (20_000_000, 'a'), (20_000_000, 'b')]);
}

#[test]
fn armed_cancelled_and_armed_again_in_one_turn_fires_once() {
    let mut wheel = TimerWheel::new();
    let first = wheel.arm(500, 1);
    assert_eq!(wheel.cancel(first), Some(1));
    let second = wheel.arm(500, 2);
    assert_eq!(wheel.cancel(first), None, "the name of a cancelled timer reaches no other one");
    assert!(!wheel.rearm(first, 100) && wheel.rearm(second, 700));
    assert_eq!(wheel.next_us(), Some(700));
    assert_eq!(all(&mut wheel, 10_000), [(700, 2)]);
    assert!(wheel.is_empty() && wheel.next_us().is_none());
}

#[test]
fn a_clock_that_stands_still_and_jumps_on_skips_no_timer() {
    let mut wheel = TimerWheel::new();
    for n in 0..1000_u64 {
        wheel.arm(5_000_000 + (n * 7919) % 20_000_000, n);
    }
    for _ in 0..5 {
        assert_eq!(wheel.pop(4_999_999), None, "it stands still");
    }
    let fired = all(&mut wheel, 14_999_999);
    assert!(fired.is_sorted_by_key(|f| f.0));
    let late = all(&mut wheel, u64::MAX);
    assert_eq!(fired.len() + late.len(), 1000);
    assert!(late.iter().all(|l| l.0 > 14_999_999));
}

#[test]
fn digits_that_turn_over_keep_the_order() {
    for edge in [63, 64, 4095, 4096, (1 << 18) - 1, 1 << 18, 1 << 36] {
        let mut wheel = TimerWheel::new();
        assert_eq!(wheel.pop(edge - 2), None);
        for at in [edge + 1, edge, edge - 1, edge + 64, edge + 4096] {
            wheel.arm(at, at);
        }
        let mut fired = Vec::new();
        while let Some(at) = wheel.next_us() {
            fired.extend(all(&mut wheel, at));
        }
        let wanted = [edge - 1, edge, edge + 1, edge + 64, edge + 4096];
        assert_eq!(fired, wanted.map(|at| (at, at)));
    }
}

#[test]
fn what_is_late_when_it_is_armed_is_due_at_once_and_the_end_of_time_is_a_time() {
    let mut wheel = TimerWheel::new();
    assert_eq!(wheel.pop(1_000_000), None);
    wheel.arm(1_000_000, 'a');
    wheel.arm(5, 'b');
    let never = wheel.arm(u64::MAX, 'c');
    assert!(wheel.next_us().is_some_and(|at| at <= 1_000_000));
    let mut due = all(&mut wheel, 1_000_000);
    due.sort_unstable();
    assert_eq!(due, [(5, 'b'), (1_000_000, 'a')]);
    assert!(wheel.is_armed(never));
}

#[test]
fn a_timer_armed_by_one_that_fires_takes_its_place_in_the_order() {
    let mut wheel = TimerWheel::new();
    wheel.arm(10, 'a');
    wheel.arm(30, 'c');
    assert_eq!(wheel.pop(100), Some((10, 'a')));
    wheel.arm(20, 'b');
    assert_eq!(all(&mut wheel, 100), [(20, 'b'), (30, 'c')]);
}

#[test]
fn a_cancelled_first_timer_costs_one_early_look_at_most() {
    let mut wheel = TimerWheel::new();
    let first = wheel.arm(20_000_000, 1);
    wheel.arm(21_000_000, 2);
    wheel.cancel(first);
    let mut looks = 0;
    while !wheel.is_empty() {
        let at = wheel.next_us().unwrap();
        looks += usize::from(wheel.pop(at).is_none());
    }
    assert!(looks <= 1, "{looks}");
}

use super::*;

#[test]
fn each_machine_is_first_for_its_share_of_gateways() {
    let mut first = [0; 7];
    for seed in 0..5_500 {
        first[Backoff::new(7, seed).machine()] += 1;
    }
    assert!(first.iter().all(|count| (700..870).contains(count)), "{first:?}");
}

#[test]
fn all_machines_are_tried_in_turn_and_the_gateways_of_one_spread_over_the_others() {
    let mut second = [0; 7];
    for seed in 0..5_500 {
        let mut backoff = Backoff::new(7, seed);
        let first = backoff.machine();
        let mut tried = vec![first];
        for _ in 1..7 {
            backoff.fail();
            tried.push(backoff.machine());
        }
        if first == 3 {
            second[tried[1]] += 1;
        }
        tried.sort_unstable();
        assert_eq!(tried, [0, 1, 2, 3, 4, 5, 6]);
    }
    assert_eq!(second[3], 0);
    assert!(second.iter().enumerate().all(|(machine, count)| machine == 3 || *count > 90), "{second:?}");
}

#[test]
fn waits_grow_up_to_a_limit_and_begin_anew_after_a_success() {
    let mut longest = [0; 9];
    for seed in 0..1_000 {
        let mut backoff = Backoff::new(7, seed);
        for longest in &mut longest {
            *longest = backoff.fail().max(*longest);
        }
        backoff.succeed();
        assert!(backoff.fail() < BACKOFF_FIRST_US);
    }
    for (failures, longest_us) in longest.into_iter().enumerate() {
        let ceiling_us = (BACKOFF_FIRST_US << failures).min(BACKOFF_MOST_US);
        assert!(longest_us < ceiling_us && longest_us > ceiling_us * 9 / 10, "{failures}: {longest_us}");
    }
}

#[test]
fn a_thousand_do_not_come_in_step() {
    let mut slots = [0; 10];
    for seed in 0..1_000 {
        slots[(Backoff::new(7, seed).fail() / 25_000) as usize] += 1;
    }
    assert!(slots.iter().all(|count| (70..130).contains(count)), "{slots:?}");
}

#[test]
fn no_machine_at_all_is_no_panic() {
    let mut backoff = Backoff::new(0, 1);
    backoff.fail();
    assert_eq!(backoff.machine(), 0);
}

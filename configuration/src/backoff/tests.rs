use super::*;

#[test]
fn each_server_is_first_for_an_equal_share_of_gateways() {
    let mut first = [0; 7];
    for seed in 0..5_500 {
        first[Backoff::new(7, seed).server()] += 1;
    }
    assert!(first.iter().all(|count| (700..870).contains(count)), "{first:?}");
}

#[test]
fn gateways_try_all_servers_and_spread_over_the_others_when_one_fails() {
    let mut second = [0; 7];
    for seed in 0..5_500 {
        let mut backoff = Backoff::new(7, seed);
        let first = backoff.server();
        let mut tried = vec![first];
        for _ in 1..7 {
            backoff.on_failure();
            tried.push(backoff.server());
        }
        if first == 3 {
            second[tried[1]] += 1;
        }
        tried.sort_unstable();
        assert_eq!(tried, [0, 1, 2, 3, 4, 5, 6]);
    }
    assert_eq!(second[3], 0);
    assert!(second.iter().enumerate().all(|(server, count)| server == 3 || *count > 90), "{second:?}");
}

#[test]
fn delays_grow_up_to_a_limit_and_reset_after_a_success() {
    let mut longest = [0; 9];
    for seed in 0..1_000 {
        let mut backoff = Backoff::new(7, seed);
        for longest in &mut longest {
            *longest = backoff.on_failure().max(*longest);
        }
        backoff.on_success();
        assert!(backoff.on_failure() < BACKOFF_INITIAL_US);
    }
    for (failures, longest_us) in longest.into_iter().enumerate() {
        let ceiling_us = (BACKOFF_INITIAL_US << failures).min(BACKOFF_MAX_US);
        assert!(longest_us < ceiling_us && longest_us > ceiling_us * 9 / 10, "{failures}: {longest_us}");
    }
}

#[test]
fn first_delays_of_many_gateways_are_spread_evenly() {
    let mut slots = [0; 10];
    for seed in 0..1_000 {
        slots[(Backoff::new(7, seed).on_failure() / 25_000) as usize] += 1;
    }
    assert!(slots.iter().all(|count| (70..130).contains(count)), "{slots:?}");
}

#[test]
fn an_empty_server_list_does_not_panic() {
    let mut backoff = Backoff::new(0, 1);
    backoff.on_failure();
    assert_eq!(backoff.server(), 0);
}

use super::*;

const NOW_US: u64 = 10_000_000;

/// Returns a table with one session for each activity and start time, and their handles.
fn table(activities: &[(Activity, u64)]) -> (SessionTable<u8, u32>, Vec<Handle>) {
    let mut table = SessionTable::new();
    let add = |(activity, since): &(Activity, u64)| {
        let handle = table.insert(*since, Box::new(0));
        table.set_activity(handle, *activity, *since);
        handle
    };
    let handles = activities.iter().map(add).collect();
    (table, handles)
}

/// Index of the session that is selected for eviction.
fn evicted(activities: &[(Activity, u64)]) -> Option<usize> {
    let (table, handles) = table(activities);
    let candidate = table.eviction_candidate(NOW_US, usize::MAX)?;
    handles.iter().position(|h| *h == candidate)
}

#[test]
fn closing_sessions_are_evicted_before_slow_ones_and_slow_before_idle_ones() {
    let (idle, slow, closing) =
        ((Activity::Idle, 10), (Activity::IncompleteMessage, 100), (Activity::Closing, 500));
    assert_eq!(evicted(&[(Activity::Busy, 0), idle, slow, closing]), Some(3));
    assert_eq!(evicted(&[(Activity::Busy, 0), idle, slow]), Some(2));
    assert_eq!(evicted(&[(Activity::Busy, 0), idle]), Some(1));
    assert_eq!(evicted(&[(Activity::Busy, 0)]), None, "a busy session is never evicted");
    assert_eq!(
        evicted(&[(Activity::Idle, 8), (Activity::Idle, 9), (Activity::Idle, 11)]),
        Some(0),
        "the oldest idle session"
    );
    assert_eq!(
        evicted(&[(Activity::UnreadOutput, 50), (Activity::IncompleteMessage, 60)]),
        Some(0),
        "the oldest session of both kinds"
    );
}

#[test]
fn sessions_are_not_evicted_within_their_grace_period() {
    let fresh = NOW_US - EVICTION_GRACE_US + 1;
    assert_eq!(evicted(&[(Activity::IncompleteMessage, fresh), (Activity::Closing, fresh)]), None);
    assert_eq!(evicted(&[(Activity::IncompleteMessage, fresh), (Activity::Idle, NOW_US)]), Some(1));
    assert_eq!(evicted(&[(Activity::IncompleteMessage, fresh - 1)]), Some(0));
    assert_eq!(
        evicted(&[(Activity::UnreadOutput, fresh - 1)]),
        None,
        "unread output has a longer grace period"
    );
    assert_eq!(evicted(&[(Activity::UnreadOutput, NOW_US - OUTPUT_READ_GRACE_US)]), Some(0));
}

#[test]
fn a_stale_handle_reaches_no_session_in_a_reused_slot() {
    let (mut table, handles) = table(&[(Activity::Idle, 1)]);
    let old = handles[0];
    assert!(table.remove(old).is_some());
    let new = table.insert(2, Box::new(7));
    assert_eq!((old.index, old == new), (new.index, false));
    assert!(!table.contains(old) && table.active(old).is_none() && table.remove(old).is_none());
    assert!(!table.resume(old, 3, |_| Box::new(9)), "a stale handle resumes no session");
    assert!(!table.suspend(old, |_| Ok(1)));
    table.set_activity(old, Activity::Closing, 3);
    assert_eq!((table.activity(new), table.active(new)), (Some((Activity::Busy, 2)), Some(&7)));
    assert_eq!(Handle::from_bits(new.to_bits()), Some(new));
    assert!(new.to_bits() >> 62 == 0);
}

#[test]
fn a_suspended_session_resumes_with_its_state() {
    let (mut table, handles) = table(&[(Activity::Busy, 1)]);
    let handle = handles[0];
    assert!(!table.suspend(handle, Err), "the session stays active");
    assert!(table.suspend(handle, |_| Ok(5)));
    assert_eq!((table.suspended_count(), table.suspended(handle), table.active(handle)), (1, Some(&5), None));
    assert!(table.resume(handle, 2, |state| Box::new(u32::from(state))));
    assert_eq!((table.suspended_count(), table.active(handle)), (0, Some(&5)));
}

#[test]
fn a_surge_of_silent_sessions_evicts_no_idle_session() {
    let surge: Vec<_> = (0..50).map(|n| (Activity::IncompleteMessage, NOW_US - 40_000 + n)).collect();
    let (mut table, handles) = table(&[vec![(Activity::Idle, 1)], surge].concat());
    assert_eq!(table.eviction_candidate(NOW_US, 51), Some(handles[0]), "50 sessions are not a surge of 51");
    assert_eq!(table.eviction_candidate(NOW_US, 50), Some(handles[1]));
    assert_eq!(table.eviction_candidate(NOW_US - 30_000, 50), Some(handles[0]), "within the grace period");
    table.set_queued(handles[1]);
    assert_eq!(table.eviction_candidate(NOW_US, 50), Some(handles[0]), "the session has unread input");
}

#[test]
fn removing_a_queued_session_clears_the_mark_of_its_slot() {
    let (mut table, handles) = table(&[(Activity::Idle, 1)]);
    assert!(table.set_queued(handles[0]) && !table.set_queued(handles[0]));
    table.remove(handles[0]);
    let next = table.insert(2, Box::new(0));
    assert!(!table.clear_queued(handles[0]) && !table.clear_queued(next) && table.set_queued(next));
}

#[test]
fn progress_restarts_the_age_but_an_unchanged_activity_does_not() {
    let (mut table, handles) = table(&[(Activity::IncompleteMessage, 1), (Activity::IncompleteMessage, 2)]);
    table.set_activity(handles[0], Activity::IncompleteMessage, 3);
    assert_eq!(table.oldest(Activity::IncompleteMessage), Some((handles[0], 1)));
    table.restart_age(handles[0], 3);
    assert_eq!(table.oldest(Activity::IncompleteMessage), Some((handles[1], 2)));
    assert_eq!(table.count(Activity::IncompleteMessage), 2);
}

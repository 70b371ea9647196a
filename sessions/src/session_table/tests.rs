use super::*;

const NOW: u64 = 10_000_000;

/// A table with one session for each use and time, in the order of the times.
fn table(uses: &[(Use, u64)]) -> (Table<u8, u32>, Vec<Handle>) {
    let mut table = Table::new();
    let add = |(used, since): &(Use, u64)| {
        let handle = table.insert(*since, Box::new(0));
        table.set_use(handle, *used, *since);
        handle
    };
    let handles = uses.iter().map(add).collect();
    (table, handles)
}

fn chosen(uses: &[(Use, u64)]) -> Option<usize> {
    let (table, handles) = table(uses);
    let yields = table.yields(NOW, usize::MAX)?;
    handles.iter().position(|h| *h == yields)
}

#[test]
fn who_was_told_all_goes_before_who_is_slow_before_who_is_idle() {
    let (idle, slow, told) = ((Use::Idle, 10), (Use::Unfinished, 100), (Use::Told, 500));
    assert_eq!(chosen(&[(Use::Busy, 0), idle, slow, told]), Some(3));
    assert_eq!(chosen(&[(Use::Busy, 0), idle, slow]), Some(2));
    assert_eq!(chosen(&[(Use::Busy, 0), idle]), Some(1));
    assert_eq!(chosen(&[(Use::Busy, 0)]), None, "an open request is never closed for another");
    assert_eq!(chosen(&[(Use::Idle, 8), (Use::Idle, 9), (Use::Idle, 11)]), Some(0), "the oldest");
    assert_eq!(chosen(&[(Use::Unread, 50), (Use::Unfinished, 60)]), Some(0), "the oldest of both kinds");
}

#[test]
fn who_has_just_come_may_finish_its_message() {
    let fresh = NOW - SPARED_US + 1;
    assert_eq!(chosen(&[(Use::Unfinished, fresh), (Use::Told, fresh)]), None);
    assert_eq!(chosen(&[(Use::Unfinished, fresh), (Use::Idle, NOW)]), Some(1));
    assert_eq!(chosen(&[(Use::Unfinished, fresh - 1)]), Some(0));
    assert_eq!(chosen(&[(Use::Unread, fresh - 1)]), None, "an answer takes longer to read");
    assert_eq!(chosen(&[(Use::Unread, NOW - READING_US)]), Some(0));
}

#[test]
fn a_handle_reaches_no_later_tenant_of_its_slot() {
    let (mut table, handles) = table(&[(Use::Idle, 1)]);
    let old = handles[0];
    assert!(table.remove(old).is_some());
    let new = table.insert(2, Box::new(7));
    assert_eq!((old.index, old == new), (new.index, false));
    assert!(!table.contains(old) && table.hot(old).is_none() && table.remove(old).is_none());
    assert!(!table.wake(old, 3, |_| Box::new(9)), "an event of the one that has gone wakes nobody");
    assert!(!table.park(old, |_| Ok(1)));
    table.set_use(old, Use::Told, 3);
    assert_eq!((table.used(new), table.hot(new)), (Some((Use::Busy, 2)), Some(&7)));
    assert_eq!(Handle::from_bits(new.to_bits()), Some(new));
    assert!(new.to_bits() >> 62 == 0);
}

#[test]
fn a_parked_session_is_its_slot_and_what_woke_it_finds_it_whole() {
    let (mut table, handles) = table(&[(Use::Busy, 1)]);
    let it = handles[0];
    assert!(!table.park(it, Err), "one that can't be parked stays as it is");
    assert!(table.park(it, |_| Ok(5)));
    assert_eq!((table.cold(), table.parked(it), table.hot(it)), (1, Some(&5), None));
    assert!(table.wake(it, 2, |cold| Box::new(u32::from(cold))));
    assert_eq!((table.cold(), table.hot(it)), (0, Some(&5)));
}

#[test]
fn a_silent_crowd_takes_no_idle_session_s_place() {
    let crowd: Vec<_> = (0..50).map(|n| (Use::Unfinished, NOW - 40_000 + n)).collect();
    let (mut table, handles) = table(&[vec![(Use::Idle, 1)], crowd].concat());
    assert_eq!(table.yields(NOW, 51), Some(handles[0]), "fifty are no crowd yet");
    assert_eq!(table.yields(NOW, 50), Some(handles[1]));
    assert_eq!(table.yields(NOW - 30_000, 50), Some(handles[0]), "they have just come");
    table.mark(handles[1]);
    assert_eq!(table.yields(NOW, 50), Some(handles[0]), "it has spoken and was not read yet");
}

#[test]
fn a_mark_ends_with_its_session() {
    let (mut table, handles) = table(&[(Use::Idle, 1)]);
    assert!(table.mark(handles[0]) && !table.mark(handles[0]));
    table.remove(handles[0]);
    let next = table.insert(2, Box::new(0));
    assert!(!table.unmark(handles[0]) && !table.unmark(next) && table.mark(next));
}

#[test]
fn getting_on_begins_an_age_anew_and_standing_still_does_not() {
    let (mut table, handles) = table(&[(Use::Unfinished, 1), (Use::Unfinished, 2)]);
    table.set_use(handles[0], Use::Unfinished, 3);
    assert_eq!(table.oldest(Use::Unfinished), Some((handles[0], 1)));
    table.renew(handles[0], 3);
    assert_eq!(table.oldest(Use::Unfinished), Some((handles[1], 2)));
    assert_eq!(table.count(Use::Unfinished), 2);
}

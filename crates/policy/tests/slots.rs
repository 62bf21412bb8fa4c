//! One entry's share of a replica whose slots are divided, while the division changes.

use clock::Span;
use clock::Time;
use policy::replica::Report;
use policy::slots::Share;

const SLOTS: u32 = 16;
const ENTRIES: u32 = 73;
const HANDOVER: Span = Span::from_seconds(5);

fn share(owned: u32) -> Share {
    let mut share = Share::new(SLOTS, ENTRIES);
    share.set_owned(Time::ZERO, Some(owned), HANDOVER);
    share
}

/// Applies a report without waiting work that is valid for a second.
fn report(share: &mut Share, now: Time, running: u32, borrowed: u32) {
    let report = Report {
        running: SLOTS,
        waiting: 0,
        kv_used: 0.5,
        age: Span::ZERO,
    };
    share.record_divided_report(
        now + Span::from_seconds(1),
        SLOTS,
        running,
        &report,
        borrowed,
    );
}

fn limit(share: &Share, now: Time) -> u32 {
    share.limit(now, SLOTS, ENTRIES)
}

/// Guards against an entry that can't use its slots at its start, when they have no former owner.
#[test]
fn first_division_applies_at_once() {
    assert_eq!(limit(&share(2), Time::ZERO), 2);
}

/// Guards against a new owner that uses slots while attempts of the former owner still run there.
#[test]
fn gained_slots_are_used_after_the_handover() {
    let mut share = share(1);
    let change = Time::from_millis(10_000);
    share.set_owned(change, Some(2), HANDOVER);
    assert_eq!(limit(&share, change), 1);
    // A further change of other pairs doesn't start the handover anew.
    share.set_owned(change + Span::from_seconds(4), Some(2), HANDOVER);
    assert_eq!(limit(&share, change + Span::from_millis(4_999)), 1);
    assert_eq!(limit(&share, change + HANDOVER), 2);
}

/// Guards against a slot that is usable through a change that takes it away and a later one that returns it.
#[test]
fn slots_that_return_are_gained_anew() {
    let mut share = share(2);
    share.set_owned(Time::from_millis(6_000), Some(1), HANDOVER);
    let back = Time::from_millis(10_000);
    share.set_owned(back, Some(2), HANDOVER);
    assert_eq!(limit(&share, back), 1);
    assert_eq!(limit(&share, back + HANDOVER), 2);
}

/// Guards against a former owner that keeps its lost slots as borrowed ones beside the new owner.
#[test]
fn lost_slots_are_given_back_before_any_is_borrowed() {
    let mut share = share(2);
    let now = Time::from_millis(10_000);
    report(&mut share, now, 2, 1);
    assert_eq!(limit(&share, now), 3);
    share.set_owned(now, Some(1), HANDOVER);
    assert_eq!(limit(&share, now), 1);
    report(&mut share, now, 2, 1);
    assert_eq!(limit(&share, now), 1);
    report(&mut share, now, 1, 1);
    assert_eq!(limit(&share, now), 2);
}

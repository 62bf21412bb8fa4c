//! Failure detection: how long callers are sent to entries that were killed.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;

use support::World;
use support::caller_address;

/// Longest time for which a killed entry is still named to callers, milliseconds.
const MAX_NAMED_MS: u64 = 2_500;
const SETTLE_MS: u64 = 9_000;
const CHECK_INTERVAL_MS: u64 = 100;

/// Kills entries; returns for how long any other one still names one of them, milliseconds.
fn longest_named_ms(entries: usize, lost: &BTreeSet<usize>) -> u64 {
    let mut world = World::new(entries);
    world.run(SETTLE_MS);
    for entry in lost {
        world.kill(*entry);
    }
    let killed_at = world.now;
    let mut last = 0;
    while world.now < killed_at + 9_000 {
        world.run(CHECK_INTERVAL_MS);
        for entry in (0..entries).filter(|entry| !lost.contains(entry)) {
            let named = world.ask_addresses(entry);
            let gone = |one: &usize| named.contains(&caller_address(*one));
            if lost.iter().any(gone) {
                last = world.now - killed_at;
            }
        }
    }
    last
}

/// Returns the two entries that send the most sums.
fn hubs(entries: usize) -> BTreeSet<usize> {
    let mut world = World::new(entries);
    world.run(SETTLE_MS);
    world.sums_sent.clear();
    world.run(1_000);
    let mut sent: Vec<(u32, usize)> = world
        .sums_sent
        .iter()
        .map(|(entry, sums)| (*sums, *entry))
        .collect();
    sent.sort_unstable();
    sent.into_iter()
        .rev()
        .take(2)
        .map(|(_, entry)| entry)
        .collect()
}

#[test]
fn a_lost_entry_is_soon_named_no_more() {
    // The time to detect a failure grew with the number of entries, as did the time for heartbeats to reach
    // all: seven seconds among 62.
    for entries in [8, 24, 62] {
        let lost = BTreeSet::from([3]);
        let named = longest_named_ms(entries, &lost);
        assert!(
            named <= MAX_NAMED_MS,
            "named for {named} ms, {entries} entries"
        );
    }
}

#[test]
fn many_entries_lost_at_once_are_soon_named_no_more() {
    for entries in [8, 24] {
        let lost: BTreeSet<usize> = (0..entries).filter(|entry| entry % 3 == 0).collect();
        let named = longest_named_ms(entries, &lost);
        assert!(
            named <= MAX_NAMED_MS,
            "named for {named} ms, {entries} entries"
        );
    }
}

#[test]
fn entries_lost_with_those_who_watch_them_are_soon_named_no_more() {
    let entries = 24;
    let mut lost = hubs(entries);
    lost.insert((0..entries).find(|entry| !lost.contains(entry)).unwrap());
    let named = longest_named_ms(entries, &lost);
    assert!(named <= 2 * MAX_NAMED_MS, "named for {named} ms");
}

#[test]
fn live_entries_stay_named() {
    // An entry suspected by mistake would get no callers, while the others get too many.
    let mut world = World::new(24);
    world.run(SETTLE_MS);
    let mut missing = 0;
    for _ in 0..100 {
        world.run(CHECK_INTERVAL_MS);
        let named: BTreeSet<_> = (0..24)
            .flat_map(|entry| world.ask_addresses(entry))
            .collect();
        missing += 24 - named.len();
    }
    assert_eq!(missing, 0);
}

#[test]
fn an_entry_that_was_cut_off_is_soon_named_again() {
    let mut world = World::new(24);
    world.run(SETTLE_MS);
    world.partitioned.insert(5);
    world.run(4_000);
    assert!(!world.ask_addresses(7).contains(&caller_address(5)));
    world.partitioned.clear();
    world.run(3_000);
    let named: BTreeSet<_> = (0..5).flat_map(|_| world.ask_addresses(7)).collect();
    assert!(named.contains(&caller_address(5)));
}

/// Guards against live entries that are taken for failed, since urgent rounds or records leave no room for heartbeats.
#[test]
fn entries_that_start_together_name_each_other() {
    const COUNT: usize = 40;
    let mut world = World::new(COUNT);
    world.run(4_000);
    for _ in 0..32 {
        world.run(500);
        for entry in 0..COUNT {
            let named = world.ask_addresses(entry).len();
            assert_eq!(named, COUNT, "entry {entry} at {} ms", world.now);
        }
    }
}

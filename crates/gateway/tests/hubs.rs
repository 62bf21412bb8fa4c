//! Messages among entries that exchange counts by hubs.

mod support;

use std::collections::BTreeMap;

use gateway::configs::gateway::Settings;
use support::World;

/// Enough entries for an exchange by hubs.
const ENTRIES: usize = 24;
/// Two rounds of heartbeats, after which all entries know who is alive, and one round of counts.
const RECOVERY_MS: u64 = 2_500;
/// Two hubs, each of which sends two sums a second.
const SUMS_PER_SECOND: u32 = 2 * 2;

#[test]
fn a_hub_tells_each_entry_once_also_after_all_were_started_anew() {
    // After all entries were restarted, three of 75 lost the table service, their peers and the replicas for
    // eight seconds. They were the hubs: each sent its sums to earlier incarnations too, which have the
    // addresses of the present ones, and wrote 1.9 MB a second to 242 members over links of 1.25 MB a second.
    let mut world = World::new(ENTRIES);
    world.run(6_000);
    for _ in 0..3 {
        for entry in 0..ENTRIES {
            world.kill(entry);
        }
        world.run(500);
        for entry in 0..ENTRIES {
            world.start(entry);
        }
        world.run(2_000);
    }
    // The earlier incarnations are still members, but no longer hubs.
    world.run(4_000);
    let before = world.sums_received.clone();
    world.run(1_000);

    for (entry, sums) in &world.sums_received {
        let per_second = sums - before.get(entry).copied().unwrap_or(0);
        assert!(
            per_second <= SUMS_PER_SECOND,
            "entry {entry}: {per_second} sums"
        );
    }
}

#[test]
fn sums_come_again_soon_after_all_were_started_anew() {
    // For five seconds after all entries were restarted, nobody received the others' counts: all sent theirs
    // to hubs that were earlier incarnations, and those at these addresses didn't take themselves for hubs.
    let mut world = World::new(ENTRIES);
    world.run(6_000);
    for entry in 0..ENTRIES {
        world.kill(entry);
    }
    world.run(500);
    for entry in 0..ENTRIES {
        world.start(entry);
    }
    world.run(RECOVERY_MS);
    let before = world.sums_received.clone();
    world.run(1_000);

    for entry in 0..ENTRIES {
        let sums = |sums: &BTreeMap<usize, u32>| sums.get(&entry).copied().unwrap_or(0);
        assert!(sums(&world.sums_received) > sums(&before), "entry {entry}");
    }
}

#[test]
fn hubs_are_the_entries_that_can_take_the_most() {
    // Two small entries of 75 became hubs although six were large. Their sums filled half of a small entry's
    // link; together with callers' streams they cost it the table service and 45 connections to replicas in
    // twenty seconds.
    const LARGE: usize = 3;
    let settings = Settings {
        entries: ENTRIES as u32,
        seeds: (0..ENTRIES).map(support::peer_address).collect(),
        ..Settings::default()
    };
    let mut world = World::with_settings(ENTRIES, settings);
    for entry in LARGE..ENTRIES {
        world.set_capacity(entry, 30);
        world.start(entry);
    }
    world.run(12_000);
    let before = world.sums_sent.clone();
    world.run(2_000);

    let sums_sent =
        |entry: usize| world.sums_sent[&entry] - before.get(&entry).copied().unwrap_or(0);
    let hubs: Vec<usize> = (0..ENTRIES).filter(|entry| sums_sent(*entry) > 0).collect();
    assert_eq!(hubs.len(), 2);
    assert!(hubs.iter().all(|hub| *hub < LARGE), "{hubs:?}");
}

/// Guards against the time of an entry that has just started, which another hub's counts of ended entries set to 1970.
#[test]
fn counts_of_ended_entries_set_no_clock() {
    let mut world = World::new(ENTRIES).released(true);
    world.start(0);
    world.hand_over_counts(0);
    for _ in 0..20 {
        world.begin_stream(0);
        world.run(10);
    }
    let now = world.unix_ms();
    let records = world.stream_record_ends();
    assert!(!records.is_empty());
    let wrong = records.iter().filter(|until| **until < now - 60_000);
    assert_eq!(wrong.count(), 0, "of {}", records.len());
}

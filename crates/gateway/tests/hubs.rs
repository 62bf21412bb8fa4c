//! What entries that tell counts by hubs send each other.

mod support;

use std::collections::BTreeMap;

use gateway::configs::gateway::Settings;
use support::World;

/// Enough that counts travel by hubs.
const ENTRIES: usize = 24;
/// Two rounds of heartbeats, by which all know who lives, and a telling.
const SOON_MS: u64 = 2_500;
/// Hubs, and how often each tells its sum in a second.
const SUMS_A_SECOND: u32 = 2 * 2;

#[test]
fn a_hub_tells_each_entry_once_also_after_all_were_started_anew() {
    // After all entries had ended and started again, three of 75 lost the table service, their peers and the replicas
    // for eight seconds and sent requests to servers that had left. They were the hubs.
    // Cause: each sum went to earlier lives too, which have the addresses of the present ones. Evidence: sums_sent
    // told of 242 members, of whom 75 lived, and 1.9 MB a second over links of 1.25; 974 of 974 digests were lost.
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
    // The earlier lives are still members, but no longer hubs.
    world.run(4_000);
    let before = world.sums_received.clone();
    world.run(1_000);

    for (entry, sums) in &world.sums_received {
        let in_a_second = sums - before.get(entry).copied().unwrap_or(0);
        assert!(
            in_a_second <= SUMS_A_SECOND,
            "entry {entry}: {in_a_second} sums"
        );
    }
}

#[test]
fn sums_come_again_soon_after_all_were_started_anew() {
    // For five seconds after all entries had ended together and started again, nobody heard what the others count:
    // quotas went by parts, replicas by a part of the work. All told hubs that were earlier lives, and those that
    // have their addresses now took themselves for none.
    let mut world = World::new(ENTRIES);
    world.run(6_000);
    for entry in 0..ENTRIES {
        world.kill(entry);
    }
    world.run(500);
    for entry in 0..ENTRIES {
        world.start(entry);
    }
    world.run(SOON_MS);
    let before = world.sums_received.clone();
    world.run(1_000);

    for entry in 0..ENTRIES {
        let sums = |sums: &BTreeMap<usize, u32>| sums.get(&entry).copied().unwrap_or(0);
        assert!(sums(&world.sums_received) > sums(&before), "entry {entry}");
    }
}

#[test]
fn hubs_are_the_entries_that_can_take_the_most() {
    // Beside six large entries two small ones were the hubs of 75. What a hub sends filled half of a small one's link;
    // with its callers' streams it lost the table service and gave up 45 connections to replicas in twenty seconds.
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

    let told = |entry: usize| world.sums_sent[&entry] - before.get(&entry).copied().unwrap_or(0);
    let hubs: Vec<usize> = (0..ENTRIES).filter(|entry| told(*entry) > 0).collect();
    assert_eq!(hubs.len(), 2);
    assert!(hubs.iter().all(|hub| *hub < LARGE), "{hubs:?}");
}

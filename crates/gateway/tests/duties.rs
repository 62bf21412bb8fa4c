//! Duties that one entry performs for all: reporting each window's usage, and ordering replicas.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use support::World;

/// Length of a usage window in milliseconds, and requests that the tests send in one.
const WINDOW: u64 = 5_000;
const REQUESTS: u64 = 50;
/// Enough entries for counts to travel by hubs.
const ENTRIES: usize = 24;
/// Maximum time without a holder: a lease with its margin, and half a second.
const LONGEST_GAP: u64 = 4_500 + 500;

/// Runs until the entries have found each other and one holds the duties, then clears the log of duty calls.
fn settle(world: &mut World) {
    world.run(10_000);
    world.duty_calls.clear();
}

/// Serves one window's requests, spread over entries and time, and returns how many were served.
fn one_window(world: &mut World, entries: usize) -> u64 {
    let mut served = 0;
    for number in 0..REQUESTS {
        served += u64::from(world.serve(number as usize % entries));
        world.run(WINDOW / REQUESTS);
    }
    served
}

/// Returns the reported requests by window, and checks that repeated reports of a window agree.
fn counts(world: &World) -> BTreeMap<u64, u64> {
    let mut reported = BTreeMap::new();
    for (window, count) in world.reports() {
        let first = *reported.entry(window).or_insert(count);
        assert_eq!(first, count, "two reports of window {window} differ");
    }
    reported
}

#[test]
fn one_entry_reports_the_requests_of_all() {
    let mut world = World::new(4);
    settle(&mut world);
    let served = one_window(&mut world, 4);
    world.run(3 * WINDOW);

    let reported: u64 = counts(&world).values().sum();

    assert_eq!(reported, served);
    assert_eq!(served, REQUESTS);
}

#[test]
fn many_entries_agree_on_window_times() {
    // Windows were off by a third when one entry's clock ran two seconds ahead, if that entry was the hub
    // that set the time for all others. Entry 0 holds the duties, as hubs do.
    for skewed in [0, 7, 15] {
        let mut world = World::new(24);
        world.restart_with_clock_ahead(skewed, 2_000);
        settle(&mut world);
        world.run(WINDOW - world.now % WINDOW);
        let served = one_window(&mut world, 24);
        let window = (world.unix_ms() - 1) / WINDOW;
        world.run(3 * WINDOW);

        let reported = counts(&world).get(&window).copied().unwrap_or(0);

        assert!(
            served.abs_diff(reported) <= 1,
            "{reported} of {served}, entry {skewed} was ahead"
        );
    }
}

#[test]
fn a_second_holder_reports_the_same_counts() {
    // An account was billed by two reports of one window with different sums: the holder's answer was lost
    // and it was killed; its successor had received more counts by then and sent its own sum.
    let mut world = World::new(4);
    settle(&mut world);
    world.duty_answers_lost = true;
    one_window(&mut world, 4);
    world.run(2_000);
    let holder = world.holder().expect("someone reported");
    world.kill(holder);
    world.duty_answers_lost = false;
    world.run(12_000);

    let reporters: Vec<usize> = world.duty_calls.iter().map(|made| made.entry).collect();

    assert!(reporters.iter().any(|entry| *entry != holder));
    counts(&world);
}

#[test]
fn counts_survive_the_loss_of_all_entries() {
    // All entries were killed within a window, and the report missed more than half of its requests: the
    // counts they had exchanged were lost with them.
    let mut world = World::new(4);
    settle(&mut world);
    let served = one_window(&mut world, 4);
    world.run(1_200);
    for entry in 0..4 {
        world.kill(entry);
    }
    world.run(300);
    for entry in 0..4 {
        world.start(entry);
    }
    world.run(3 * WINDOW);

    let reported: u64 = counts(&world).values().sum();

    assert_eq!(reported, served);
}

#[test]
fn a_restarted_holder_takes_over_before_its_lease_ends() {
    // A holder restarted at its old addresses waited for the lease of its own earlier incarnation to expire;
    // meanwhile orders and reports paused.
    let mut world = World::new(4);
    settle(&mut world);
    one_window(&mut world, 4);
    world.run(2_500);
    let holder = world.holder().expect("someone reported");
    for entry in 0..4 {
        world.kill(entry);
    }
    world.run(500);
    world.duty_calls.clear();
    for entry in 0..4 {
        world.start(entry);
    }
    let restarted_at = world.now;
    one_window(&mut world, 4);
    world.run(2_500);

    let first = world.duty_calls.first().expect("someone reports again");

    assert_eq!(first.entry, holder);
    assert!(first.made_at < restarted_at + WINDOW + 2_500);
}

#[test]
fn a_store_that_loses_answers_changes_no_count() {
    // The first write of a window's counts took effect but its answer was lost; the retry wrote another sum.
    let mut world = World::new(4);
    settle(&mut world);
    for _ in 0..40 {
        world.table.push_fault(store::fake::Fault::LostAnswer);
        world.table.push_fault(store::fake::Fault::None);
    }
    let served = one_window(&mut world, 4);
    world.run(3 * WINDOW);

    let reported: u64 = counts(&world).values().sum();

    assert_eq!(reported, served);
}

#[test]
fn a_restarted_entry_counts_its_requests_once() {
    // Restarting entries in turn inflated reports by up to a third. For some seconds an entry's earlier
    // incarnation remained a member at the same address: the entry received its own counts as a peer's, and
    // hubs sent it sums that excluded only the earlier incarnation's counts.
    for entries in [4, 24] {
        let mut world = World::new(entries);
        settle(&mut world);
        for entry in 0..entries {
            world.kill(entry);
            world.start(entry);
        }
        let served = one_window(&mut world, entries);
        world.run(3 * WINDOW);

        let reported: u64 = counts(&world).values().sum();

        assert_eq!(reported, served, "{entries} entries");
    }
}

#[test]
fn a_rolling_restart_loses_no_counts() {
    // Restarting a quarter of a large system in turn lost up to a third of each window's requests. Each
    // start changed the hubs, and only the former ones knew the counts of entries that had ended.
    let entries = 24;
    let mut world = World::new(entries);
    settle(&mut world);
    world.run(WINDOW - world.now % WINDOW);
    let mut served: BTreeMap<u64, u64> = BTreeMap::new();
    for number in 0..2_000 {
        let entry = number % entries;
        *served.entry(world.unix_ms() / WINDOW).or_default() += u64::from(world.serve(entry));
        world.run(10);
        if number % 100 == 50 {
            // Long enough for its latest counts to be sent.
            let next = number / 100 % entries;
            world.kill(next);
            world.run(10);
            world.start(next);
        }
    }
    world.run(3 * WINDOW);

    let reported = counts(&world);

    for (window, count) in served {
        let reported = reported.get(&window).copied().unwrap_or(0);
        let difference = count.abs_diff(reported);
        assert!(
            difference * 20 <= count,
            "window {window}: {reported} of {count}"
        );
    }
}

/// Returns `count` pseudo-random entries that include the holder of the duties.
fn some_with_holder(world: &World, entries: usize, count: usize, seed: u64) -> BTreeSet<usize> {
    let holder = world.holders()[0];
    let mut ranked: Vec<usize> = (0..entries).filter(|entry| *entry != holder).collect();
    ranked.sort_by_key(|entry| policy::rendezvous::weight(seed, *entry as u64));
    ranked.truncate(count - 1);
    ranked.push(holder);
    ranked.into_iter().collect()
}

fn in_zones(entries: usize) -> World {
    let mut world = World::new(entries);
    world.zones = 3;
    for entry in 0..entries {
        world.start(entry);
    }
    settle(&mut world);
    world
}

/// The holder and both hubs lost the table service for ten seconds and nobody else tried for the lease, so no
/// replicas were ordered while all zones were reclaimed.
#[test]
fn duties_pass_on_while_any_half_is_cut_off_from_the_table_service() {
    for seed in 0..12 {
        let mut world = in_zones(ENTRIES);
        world.store_partitioned = some_with_holder(&world, ENTRIES, ENTRIES / 2, seed);
        let gap = world.longest_gap_without_holder(15_000);
        assert!(gap <= LONGEST_GAP, "seed {seed}: no holder for {gap} ms");
        world.store_partitioned.clear();
        let gap = world.longest_gap_without_holder(10_000);
        assert!(
            gap <= LONGEST_GAP,
            "seed {seed}, healed: no holder for {gap} ms"
        );
    }
}

/// The same for entries that reach neither the table service nor their peers.
#[test]
fn duties_pass_on_while_any_half_is_cut_off_from_everything() {
    for seed in 0..12 {
        let mut world = in_zones(ENTRIES);
        let cut = some_with_holder(&world, ENTRIES, ENTRIES / 2, seed);
        world.store_partitioned = cut.clone();
        world.partitioned = cut;
        let gap = world.longest_gap_without_holder(15_000);
        assert!(gap <= LONGEST_GAP, "seed {seed}: no holder for {gap} ms");
        world.store_partitioned.clear();
        world.partitioned.clear();
        let gap = world.longest_gap_without_holder(10_000);
        assert!(
            gap <= LONGEST_GAP,
            "seed {seed}, healed: no holder for {gap} ms"
        );
    }
}

/// The same for entries that are killed and don't return.
#[test]
fn duties_pass_on_when_any_half_is_killed() {
    for seed in 0..12 {
        let mut world = in_zones(ENTRIES);
        for entry in some_with_holder(&world, ENTRIES, ENTRIES / 2, seed) {
            world.kill(entry);
        }
        let gap = world.longest_gap_without_holder(15_000);
        assert!(gap <= LONGEST_GAP, "seed {seed}: no holder for {gap} ms");
    }
}

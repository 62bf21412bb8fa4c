//! Restores of the table service from a copy some seconds old: later writes are lost, and their revisions
//! reused.

mod support;

use std::collections::BTreeSet;

use store::revision::Revision;
use support::World;

const ENTRIES: [usize; 3] = [4, 24, 62];
/// Length of a usage window, milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Term of the lease with its margin, plus half a second.
const LONGEST_GAP_MS: u64 = 4_500 + 500;

/// Rows of the lease had lower revisions than before, so that nobody could hold it until revisions had caught
/// up. A former holder's row was back, and that entry acted beside the present holder.
#[test]
fn duties_have_one_holder_through_a_restored_copy() {
    for entries in ENTRIES {
        for age in [500, 3_000, 9_000] {
            let mut world = World::new(entries);
            world.run(6_000);
            // The copy names a holder that is killed before the restore.
            let copy = world.table.clone();
            let first = world.holders()[0];
            world.kill(first);
            world.longest_gap_without_holder(age.max(7_000));
            world.table.restore(&copy);
            let gap = world.longest_gap_without_holder(12_000);
            assert!(
                gap <= LONGEST_GAP_MS,
                "{entries} entries, {age} ms: {gap} ms"
            );
        }
    }
}

/// A window's counts were stored and reported, then lost by the table service. The next holder knew of more
/// requests by then, and reported the window again with other counts.
#[test]
fn no_window_is_reported_twice_with_other_counts() {
    let mut world = World::new(4);
    world.run(10_000);
    let holder = world.holders()[0];
    let late = (holder + 1) % 4;
    let copy = world.table.clone();
    world.partitioned.insert(late);
    world.run(WINDOW_MS - world.now % WINDOW_MS);
    let window = world.unix_ms() / WINDOW_MS;
    for _ in 0..20 {
        world.serve(late);
        world.serve(late);
        world.serve(holder);
        world.run(20);
    }
    let reported = |world: &World| world.reports().iter().any(|(of, _)| *of == window);
    while !reported(&world) {
        world.run(100);
    }
    world.table.restore(&copy);
    world.list_revision = Revision { era: 1, number: 1 }.packed();
    world.publish_servers();
    world.partitioned.clear();
    world.kill(holder);
    world.run(12_000);

    let reports = world.reports();
    let others = reports.iter().filter(|(of, _)| *of == window);
    let counts: BTreeSet<u64> = others.map(|(_, count)| *count).collect();
    assert_eq!(counts.len(), 1, "{reports:?}");
}

/// Guards against a second report of a window with other counts, where no entry is left that knows of the restore.
#[test]
fn no_window_is_reported_twice_by_entries_that_start_after_a_restore() {
    // Killed with the restore, or some time later by when a living holder has saved its counts again.
    for lives_on_ms in [0, 300, 2_500] {
        let mut world = World::new(4);
        world.run(10_000);
        let copy = world.table.clone();
        world.run(WINDOW_MS - world.now % WINDOW_MS);
        let window = world.unix_ms() / WINDOW_MS;
        while !world.reports().iter().any(|(of, _)| *of >= window) {
            for entry in 0..4 {
                world.serve(entry);
            }
            world.run(20);
        }
        let reported: Vec<_> = world.reports();
        world.table.restore(&copy);
        world.list_revision = Revision { era: 1, number: 1 }.packed();
        world.publish_servers();
        world.run(lives_on_ms);
        (0..4).for_each(|entry| world.kill(entry));
        (0..4).for_each(|entry| world.start(entry));
        world.publish_servers();
        world.run(20_000);

        let reports = world.reports();
        for (window, count) in &reported {
            let again = reports.iter().filter(|(of, _)| of == window);
            let counts: BTreeSet<u64> = again.map(|(_, count)| *count).collect();
            assert_eq!(
                counts,
                BTreeSet::from([*count]),
                "{lives_on_ms} ms: {reports:?}"
            );
        }
        let newest = reports.iter().map(|(of, _)| *of).max();
        assert!(newest > Some(window + 1), "{lives_on_ms} ms: {reports:?}");
    }
}

/// A server's removal was lost in the restore. Its row was back as ready, and it got requests again.
#[test]
fn a_server_that_left_gets_no_requests_again() {
    let mut world = World::new(4);
    world.run(5_000);
    let before = world.servers.clone();
    let gone = world.remove_server();
    world.publish_servers();
    world.run(3_000);
    world.list_revision = Revision { era: 1, number: 1 }.packed();
    for entry in 0..4 {
        world.send_servers_as_of(entry, world.list_revision, before.clone());
    }
    assert_eq!(world.count_requests_to(0, &gone, 2_000), 0);
}

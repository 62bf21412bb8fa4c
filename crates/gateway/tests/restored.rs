//! The table service comes back from a copy some seconds old: what was written since is gone, and revisions are given out
//! again.

mod support;

use std::collections::BTreeSet;

use store::revision::Revision;
use support::World;

const ENTRIES: [usize; 3] = [4, 24, 62];
/// Length of a window of usage, milliseconds.
const WINDOW: u64 = 5_000;
/// A lease with its margin, and some tenths of a second.
const LONGEST_GAP: u64 = 4_500 + 500;

/// Rows of the lease had lower revisions than those known before, and nobody could hold it until numbers had grown past
/// them; a former holder's row was back, and it acted beside the present one.
#[test]
fn duties_have_one_holder_through_a_restored_copy() {
    for entries in ENTRIES {
        for age in [500, 3_000, 9_000] {
            let mut world = World::new(entries);
            world.run(6_000);
            // The copy names a holder that has ended since.
            let copy = world.table.clone();
            let first = world.holders()[0];
            world.kill(first);
            world.longest_gap_without_holder(age.max(7_000));
            world.table.restore(&copy);
            let gap = world.longest_gap_without_holder(12_000);
            assert!(gap <= LONGEST_GAP, "{entries} entries, {age} ms: {gap} ms");
        }
    }
}

/// A window's counts were fixed and reported, then the table service lost them. The next holder had heard of more requests
/// by then, and reported the window again with other counts.
#[test]
fn no_window_is_reported_twice_with_other_counts() {
    let mut world = World::new(4);
    world.run(10_000);
    let holder = world.holders()[0];
    let late = (holder + 1) % 4;
    let copy = world.table.clone();
    world.partitioned.insert(late);
    world.run(WINDOW - world.now % WINDOW);
    let window = world.unix_ms() / WINDOW;
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

/// A server had left in the seconds that were lost. Its row was back as ready, and requests went to it again.
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

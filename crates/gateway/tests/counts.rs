//! Counts exchanged among entries: quotas, configuration versions and work.

mod support;

use clock::Span;
use gateway::bulletin::Bulletin;
use gateway::event::Source;

use support::SERVICE;
use support::World;

/// The account's burst in requests, and its rate in requests per second.
const BURST: u32 = 400;
const RATE: u32 = 40;

/// Sends a request every 10 ms through the entries in turn; returns how many reached a replica.
fn flood(world: &mut World, entries: usize, millis: u64) -> u32 {
    let before = world.attempts_started;
    for number in 0..millis / 10 {
        world.serve(number as usize % entries);
        world.run(10);
    }
    world.attempts_started - before
}

/// Returns the requests that the quota allows, plus a tenth for charges not yet known to other entries.
fn allowed(millis: u64) -> u32 {
    let seconds = u32::try_from(millis / 1_000).expect("a short test");
    (BURST + RATE * seconds) * 11 / 10
}

#[test]
fn a_flood_through_few_entries_stays_within_the_quota() {
    let mut world = World::new(8);
    world.run(5_000);

    let served = flood(&mut world, 8, 20_000);

    assert!(served <= allowed(20_000), "{served}");
    assert!(served >= RATE * 18, "{served}");
}

#[test]
fn a_flood_through_many_entries_stays_within_the_quota() {
    // Among many entries counts arrive as sums from two hubs. When both were charged, accounts got half of
    // their quota.
    let mut world = World::new(24);
    world.run(10_000);

    let served = flood(&mut world, 24, 20_000);

    assert!(served <= allowed(20_000), "{served}");
    assert!(served >= RATE * 18, "{served}");
}

#[test]
fn a_flood_while_hubs_are_lost_stays_within_the_quota() {
    // An account that exceeded its quota while entries were replaced got two percent too much. After the
    // followed hub was lost, the next one's first sum became the baseline, so that two seconds of charges
    // were dropped.
    let entries = 24;
    let mut world = World::new(entries);
    world.run(10_000);

    let mut served = 0;
    for entry in 0..entries {
        world.kill(entry);
        served += flood(&mut world, entries, 400);
        world.start(entry);
        served += flood(&mut world, entries, 100);
    }

    assert!(served <= allowed(12_000), "{served}");
}

#[test]
fn entries_killed_together_refuse_nobody_for_the_past() {
    // After all entries were killed and restarted, accounts far below their quotas were refused for half a
    // minute. The dead members raised the number of entries above the limit for direct exchange, and the rise
    // of each new entry's sum was charged as new use.
    let mut world = World::new(9);
    world.run(5_000);
    flood(&mut world, 9, 3_000);
    for entry in 0..9 {
        world.kill(entry);
    }
    world.run(500);
    for entry in 0..9 {
        world.start(entry);
    }
    world.run(3_000);
    let mut refused = 0;
    for number in 0..100 {
        refused += u32::from(!world.serve(number % 9));
        world.run(100);
    }

    assert_eq!(refused, 0, "{:?}", world.refused);
    assert_eq!(world.log_count("hubs_used"), 0);
}

#[test]
fn an_entry_started_anew_charges_nothing_twice() {
    // After all entries were restarted, an account within its quota was refused: each entry received its own
    // counts at the address of its earlier incarnation, and charged its requests twice.
    let entries = 4;
    let mut world = World::new(entries);
    world.run(5_000);
    for entry in 0..entries {
        world.kill(entry);
        world.start(entry);
    }
    world.run(2_000);
    let mut refused = 0;
    for number in 0..7 * u64::from(RATE) {
        refused += u32::from(!world.serve(number as usize % entries));
        world.run(30);
    }

    assert_eq!(refused, 0, "{:?}", world.refused);
}

#[test]
fn the_loss_of_a_hub_charges_nothing_twice() {
    // The same among many entries: when the followed hub was killed, the sum of its replacement had another
    // baseline, and the difference was charged.
    let mut world = World::new(24);
    world.run(10_000);
    flood(&mut world, 24, 20_000);
    world.run(12_000);
    for entry in 0..24 {
        world.kill(entry);
        world.run(100);
        world.start(entry);
    }
    let mut refused = 0;
    for number in 0..100 {
        refused += u32::from(!world.serve(number % 24));
        world.run(100);
    }

    assert_eq!(refused, 0, "{:?}", world.refused);
}

#[test]
fn a_configuration_never_goes_back() {
    // An entry that had read a new configuration accepted the old one from a peer, and served a removed
    // route.
    let mut world = World::new(2);
    world.run(2_000);
    for entry in 0..2 {
        world.configure(entry, 9, Source::Store);
    }
    world.configure(0, 5, Source::Peer(lease::holder::Id(1)));
    world.configure(0, 5, Source::Store);
    world.run(1_000);

    assert_eq!(world.versions(), vec![9, 9]);
}

#[test]
fn an_entry_that_cannot_read_gets_the_configuration_from_others() {
    // An entry served an old version for as long as the table service refused its reads.
    let mut world = World::new(4);
    world.run(2_000);
    for entry in 0..3 {
        world.configure(entry, 9, Source::Store);
    }
    world.run(1_500);

    assert_eq!(world.versions(), vec![9, 9, 9, 9]);
}

#[test]
fn a_new_configuration_is_not_sent_by_all_to_all() {
    // After each change of the configuration, a large system answered late for ten seconds: applied versions
    // were reported seconds later, and meanwhile each entry sent the document to all others every half
    // second.
    let entries = 40;
    let mut world = World::new(entries);
    world.run(10_000);
    let before = world.log_count("configuration_sent");
    for entry in 0..entries {
        world.configure(entry, 9, Source::Store);
    }
    world.run(6_000);

    let sent = world.log_count("configuration_sent") - before;

    assert!(sent <= 15 * entries as u32, "{sent}");
}

#[test]
fn a_new_configuration_is_not_sent_to_earlier_lives() {
    // All entries of a large system were killed after a change. Their replacements had the new version, yet
    // sent it to each other thousands of times, since the earlier incarnations remained members with the old
    // version and the same addresses. A link of 10 Mbit/s was saturated for 13 seconds.
    let entries = 40;
    let mut world = World::new(entries);
    world.run(10_000);
    for entry in 0..entries {
        world.configure(entry, 9, Source::Store);
    }
    world.version = 9;
    for entry in 0..entries {
        world.kill(entry);
    }
    world.run(1_000);
    let before = world.log_count("configuration_sent");
    for entry in 0..entries {
        world.start(entry);
    }
    world.run(12_000);

    let sent = world.log_count("configuration_sent") - before;

    assert!(sent <= entries as u32, "{sent}");
}

/// In an overload, callers retried after each refusal and were counted as new work each time: twice the
/// requests counted as five times the work, and 157 on-demand replicas were ordered instead of 70.
#[test]
fn a_request_that_comes_back_counts_once_in_every_sum() {
    let mut entries = [Bulletin::default(), Bulletin::default()];
    for round in 0..4 {
        for bulletin in &mut entries {
            let work = bulletin.work.entry(SERVICE.into()).or_default();
            work.record_arrived(2_000);
            if round < 3 {
                work.record_refused(2_000);
            }
        }
    }
    let mut sum = Bulletin::default();
    entries
        .iter()
        .for_each(|bulletin| sum.add(bulletin, Span::ZERO, true));
    assert_eq!(sum.work[SERVICE].net_tokens(), 2 * 2_000);
    let rest = sum.without(&entries[0]);
    assert_eq!(rest.work[SERVICE].net_tokens(), 2_000);
    let before = entries[1].work[SERVICE];
    let mut later = before;
    later.record_arrived(700);
    assert_eq!(later.since(&before).net_tokens(), 700);
}

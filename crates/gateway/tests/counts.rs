//! Counts that entries tell each other: quotas and configuration over all of them.

mod support;

use gateway::bulletin::Bulletin;
use gateway::event::Source;

use support::SERVICE;
use support::World;

/// What an account may use at once and in a second, requests.
const BURST: u32 = 400;
const RATE: u32 = 40;

/// Sends requests of one account through all entries in turn; how many were handed to a replica.
fn flood(world: &mut World, entries: usize, millis: u64) -> u32 {
    let before = world.attempts_started;
    for number in 0..millis / 10 {
        world.serve(number as usize % entries);
        world.run(10);
    }
    world.attempts_started - before
}

/// What the quota lets pass in that time, with a tenth more for what entries don't know of each other yet.
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
    // With many entries their counts come as sums by way of two of them; both sums were charged, and accounts got
    // half of what they had paid for.
    let mut world = World::new(24);
    world.run(10_000);

    let served = flood(&mut world, 24, 20_000);

    assert!(served <= allowed(20_000), "{served}");
    assert!(served >= RATE * 18, "{served}");
}

#[test]
fn a_flood_while_hubs_are_lost_stays_within_the_quota() {
    // An account sent several times its quota while entries were replaced, and got two percent more than was allowed
    // over all. When the hub that an entry listened to was lost, the next one's sum was taken as known: what had been
    // charged in between, two seconds' worth, was never taken off.
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
    // Accounts far below their quotas were refused for half a minute after all entries had been killed and started
    // again. The dead stood among the members for some seconds, so that eight entries counted as seventeen; counts
    // came as sums from then on, and what a new entry's sum rose by was taken for new use.
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
    // An account well within its quota was refused after all entries had been started anew. Each of them heard its own
    // counts by the address of its earlier life, and charged its requests twice.
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
    // As above among many entries: the entry whose sums all listened to is killed, and another one's take their
    // place. Its sum began elsewhere, and the difference was charged.
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
    // A request was served by a route that an operator had removed: an entry had read the new version, and a
    // neighbour that was behind sent it the old one.
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
    // One entry served an old version for as long as the table service turned its reads away.
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
    // After each change of the configuration, and after each start, a large system answered late for ten seconds.
    // Every entry read the change at once, but heard of the others' reading seconds later, and meanwhile sent it to
    // all of them every half second: ten thousand documents a second over links of 10 Mbit/s.
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
    // A change came in force and all entries of a large system were killed. Those that took their place had it at
    // once, yet sent it to each other thousands of times: the earlier lives stood among the members with the old version
    // and the same addresses. One entry's link of 10 Mbit/s was full for 13 seconds, in which it heard of no server
    // that left.
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

/// In an overload callers came back after each refusal and were counted as new work each time: five times the work was
/// measured of twice the requests, and 157 on-demand replicas were ordered where 70 were enough.
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
    entries.iter().for_each(|bulletin| sum.add(bulletin, true));
    assert_eq!(sum.work[SERVICE].net_tokens(), 2 * 2_000);
    let rest = sum.without(&entries[0]);
    assert_eq!(rest.work[SERVICE].net_tokens(), 2_000);
    let before = entries[1].work[SERVICE];
    let mut later = before;
    later.record_arrived(700);
    assert_eq!(later.since(&before).net_tokens(), 700);
}

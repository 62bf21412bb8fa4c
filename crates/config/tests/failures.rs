//! Changes of the configuration under failures of entries, store and network.

mod common;

use clock::Span;
use common::account;
use common::entries;
use config::change::Answer;
use config::change::Change;
use config::edit::Edit;
use store::fake::Fault;

const SECOND: Span = Span::from_seconds(1);

#[test]
fn a_change_is_in_force_everywhere_within_seconds() {
    let mut world = entries(8);
    let operation = world.set_weight(2, "c1", "harrow", 3);
    let elapsed = world
        .run_until(SECOND.times(5), |world| {
            (0..8).all(|index| world.version(index) == 1)
        })
        .unwrap();
    assert!(elapsed <= SECOND.times(2), "{elapsed}");
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
}

/// Two operators change the same account at two entries at the same time. One change is accepted; the other
/// is refused with the first one's edits.
#[test]
fn of_two_racing_operators_one_wins_and_one_is_told_why() {
    let mut world = entries(8);
    let first = world.set_weight(0, "c1", "harrow", 1);
    let second = world.set_weight(5, "c2", "harrow", 2);
    let answers = [world.answer(first), world.answer(second)];
    let (winner, loser) = match answers[0] {
        Answer::Accepted { .. } => (1, answers[1].clone()),
        _ => (2, answers[0].clone()),
    };
    let difference = Some(vec![Edit::PutAccount(account("harrow", winner))]);
    let version = 1;
    assert_eq!(
        loser,
        Answer::Conflict {
            version,
            difference
        }
    );
    world.check_answers();
}

/// The answer to a commit is lost, and the operator's client repeats the change at another entry. The
/// change must be applied once, and both calls must return its version.
#[test]
fn a_lost_answer_and_a_repeated_change_make_one_version() {
    let mut world = entries(8);
    world.table.push_fault(Fault::LostAnswer);
    let first = world.set_weight(0, "c1", "harrow", 1);
    world.run(SECOND.times(3));
    let change = world.changes[&first].clone();
    let repeat = world.submit(4, change, SECOND.times(20));
    assert_eq!(world.answer(first), Answer::Accepted { version: 1 });
    assert_eq!(world.answer(repeat), Answer::Accepted { version: 1 });
    assert_eq!(world.versions_with("c1"), [1]);
}

/// A commit is delayed in the network until after its sender has timed out and retried. The change must
/// not appear in two versions.
#[test]
fn a_delayed_commit_is_not_applied_twice() {
    let mut world = entries(8);
    world.late_writes.push(SECOND);
    let operation = world.set_weight(0, "c1", "harrow", 1);
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
    world.run(SECOND.times(10));
    assert_eq!(world.versions_with("c1"), [1]);
    assert_eq!(world.head(), 1);
}

/// An entry is paused while a key is revoked. The change must not be accepted while the entry could
/// still serve under the old version, and the entry must admit nothing until it holds the new one.
#[test]
fn an_entry_frozen_through_a_change_admits_nothing_old() {
    let mut world = entries(8);
    world.set_frozen(3, true);
    let operation = world.set_weight(0, "c1", "harrow", 1);
    world.run(SECOND.times(3));
    assert_eq!(world.answers.get(&operation), None, "accepted too early");
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
    world.run(SECOND.times(60));
    world.set_frozen(3, false);
    assert!(!world.admits(3));
    world
        .run_until(SECOND.times(5), |world| world.admits(3))
        .unwrap();
    assert_eq!(world.version(3), 1);
}

/// The table service is unavailable for an hour. Entries continue to admit and refuse changes; an entry that
/// starts in that time gets the configuration from its peers. Afterwards changes succeed again.
#[test]
fn an_outage_of_an_hour_stops_changes_and_nothing_else() {
    let mut world = entries(8);
    let operation = world.set_weight(0, "c1", "harrow", 1);
    world.answer(operation);
    world.table.set_down(true);
    for _ in 0..6_000 {
        world.run(Span::from_millis(100));
        assert!((0..8).all(|index| world.admits(index)), "at {}", world.now);
    }
    let refused = world.set_weight(1, "c2", "harrow", 2);
    assert_eq!(world.answer(refused), Answer::Unavailable);
    let late = world.start();
    world.run(SECOND.times(20));
    assert_eq!(world.version(late), 1);
    for _ in 0..300 {
        world.run(SECOND.times(10));
        assert!((0..=late).all(|index| world.admits(index)));
    }
    world.table.set_down(false);
    world.run(SECOND.times(15));
    let operation = world.set_weight(late, "c3", "harrow", 3);
    assert_eq!(world.answer(operation), Answer::Accepted { version: 2 });
    world.check_answers();
}

/// One entry can't reach the table service. Votes of its peers let it admit under their version, so it
/// also follows a change that is accepted meanwhile.
#[test]
fn an_entry_cut_off_from_the_service_admits_by_votes_of_its_peers() {
    let mut world = entries(8);
    world.nodes[6].store_cut = true;
    world.run(SECOND.times(60));
    assert!(world.admits(6));
    let operation = world.set_weight(0, "c1", "harrow", 1);
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
    world.run(SECOND.times(5));
    assert!(world.admits(6));
    assert_eq!(world.version(6), 1);
}

/// An entry is cut off from the table service and its peers during a change, but callers still reach
/// it. It must stop admitting before the change is accepted.
#[test]
fn an_isolated_entry_stops_before_a_change_is_accepted() {
    let mut world = entries(8);
    world.nodes[6].store_cut = true;
    world.nodes[6].partition = 1;
    let operation = world.set_weight(0, "c1", "harrow", 1);
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
    assert!(!world.admits(6));
    assert_eq!(world.version(6), 0);
}

/// A majority of entries loses the table service and the other entries, and continues under its
/// version. The minority that reaches the service can commit a change, but must not accept it.
#[test]
fn a_minority_with_the_service_cannot_accept_over_the_majority() {
    let mut world = entries(8);
    for index in 0..5 {
        world.nodes[index].store_cut = true;
        world.nodes[index].partition = 1;
    }
    world.run(SECOND.times(30));
    let operation = world.set_weight(7, "c1", "harrow", 1);
    let answer = world.answer(operation);
    assert!(
        matches!(answer, Answer::Committed { version: 1, .. }),
        "{answer:?}"
    );
    assert!((0..5).all(|index| world.admits(index)));
    for index in 0..5 {
        world.nodes[index].store_cut = false;
        world.nodes[index].partition = 0;
    }
    let repeat = Change {
        ..world.changes[&operation].clone()
    };
    let operation = world.submit(7, repeat, SECOND.times(30));
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
}

/// The entries of a zone crash during a change and are replaced. The change must be accepted, and the
/// new entries must hold it before they admit.
#[test]
fn a_zone_is_replaced_during_a_change() {
    let mut world = entries(9);
    let operation = world.set_weight(1, "c1", "harrow", 1);
    for index in [0, 3, 6] {
        world.nodes[index].dead = true;
    }
    for _ in 0..3 {
        world.start();
    }
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
    world.run(SECOND.times(20));
    assert!((9..12).all(|index| world.admits(index) && world.version(index) == 1));
}

/// More changes are made than versions are retained, while one entry is paused. The number of rows must
/// stay bounded, and the entry catches up from the snapshot.
#[test]
fn old_versions_are_compacted_and_a_late_entry_catches_up() {
    let mut world = entries(3);
    world.set_frozen(2, true);
    for number in 0..700 {
        world.set_weight(0, &format!("c{number}"), "harrow", number);
        // Limits the changes that wait for the paused entry's lease to the queue's capacity.
        world.run(Span::from_millis(50));
        assert_eq!(world.head(), u64::from(number) + 1);
    }
    assert!(
        world
            .table
            .row("config", "version/0000000000000001")
            .is_none()
    );
    world.set_frozen(2, false);
    world
        .run_until(SECOND.times(20), |world| world.version(2) == 700)
        .unwrap();
    let late = world.start();
    world
        .run_until(SECOND.times(20), |world| world.version(late) == 700)
        .unwrap();
}

/// An entry is paused during a change and receives no peer messages when it continues. It renews its lease
/// at once, but must not admit under the old version before it has read the head.
#[test]
fn a_regained_lease_alone_does_not_let_an_entry_admit() {
    let mut world = entries(5);
    world.nodes[3].partition = 1;
    world.run(SECOND);
    world.set_frozen(3, true);
    let operation = world.set_weight(0, "c1", "harrow", 1);
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
    world.set_frozen(3, false);
    world.run(SECOND.times(5));
    assert!(world.admits(3));
    assert_eq!(world.version(3), 1);
}

/// An entry starts just before a change, after the committing entry has read the members, and receives no
/// peer messages. The change must not be accepted before the new entry holds it.
#[test]
fn an_entry_that_started_since_the_last_read_is_waited_for() {
    for offset in 0..10 {
        let mut world = entries(3);
        world.run(Span::from_millis(offset * 400));
        let late = world.start();
        world.nodes[late].partition = 1;
        world
            .run_until(SECOND.times(5), |world| world.admits(late))
            .unwrap();
        let operation = world.set_weight(0, "c1", "harrow", 1);
        assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
        assert_eq!(world.version(late), 1, "started at {offset}");
    }
}

/// An entry without a table service admits by votes that arrive a second late, while its peers apply a
/// change just after they voted. Nobody waits for this entry, which has no row, so the change must not be
/// accepted while those votes are valid.
#[test]
fn votes_from_before_a_change_do_not_outlive_its_acceptance() {
    let mut world = entries(5);
    let late = world.start();
    world.nodes[late].store_cut = true;
    world.run(SECOND.times(10));
    assert!(world.admits(late));
    world.nodes[late].inbound_delay = SECOND;
    world.run(SECOND.times(10));
    assert!(world.admits(late));
    let operation = world.set_weight(0, "c1", "harrow", 1);
    assert_eq!(world.answer(operation), Answer::Accepted { version: 1 });
    world.run(SECOND.times(5));
    assert_eq!(world.version(late), 1);
}

/// An idle entry must sleep whether it holds a lease, lost the table service, or lacks a version that no
/// peer sends. Waking for work that isn't due would use a whole core.
#[test]
fn entries_sleep_while_nothing_is_due() {
    let mut world = entries(8);
    let max_wakes = 8 * 60 * 20;
    for (down, cut) in [(false, false), (true, false), (false, true)] {
        world.table.set_down(down);
        world.nodes[3].store_cut = cut;
        world.nodes[3].partition = u32::from(cut);
        world.wakes = 0;
        if !down {
            world.set_weight(0, &format!("c{cut}"), "harrow", 1);
        }
        world.run(SECOND.times(60));
        assert!(world.wakes < max_wakes, "{} wakes", world.wakes);
    }
}

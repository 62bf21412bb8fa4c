//! Members that come, go, pause and lose each other, in virtual time.

use clock::Span;
use member::configs::membership::Settings;
use member::digest::Item;
use member::digest::Topic;
use member::event::Effect;
use member::event::Event;
use member::fake::Fleet;

/// Eight entries over three zones that have found each other.
fn eight() -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..8 {
        fleet.start(["a", "b", "c"][index % 3], Settings::default());
    }
    fleet.run(Span::from_seconds(15));
    fleet
}

/// Indexes of the entries that `index` names to a caller.
fn named(fleet: &mut Fleet, index: usize) -> Vec<usize> {
    let now = fleet.now;
    let mut named: Vec<usize> = fleet.nodes[index]
        .membership
        .addresses(now, None)
        .iter()
        .map(|named| named.id.0 as usize - 1)
        .collect();
    named.sort_unstable();
    named
}

#[test]
fn all_entries_hold_leases_and_name_each_other() {
    let mut fleet = eight();
    for index in 0..8 {
        assert!(fleet.nodes[index].membership.holding().is_valid(fleet.now));
        assert_eq!(fleet.nodes[index].membership.holding().epoch, 1);
        assert_eq!(named(&mut fleet, index), (0..8).collect::<Vec<_>>());
    }
}

/// An operator stops an entry. A caller that asks any other entry right afterwards would hold on to
/// the leaving one for the answer's whole lifetime and fail there; so it is no longer named.
#[test]
fn a_draining_entry_is_soon_named_by_nobody() {
    let mut fleet = eight();
    fleet.feed(3, Event::Drain);
    let others: Vec<usize> = (0..8).filter(|index| *index != 3).collect();
    fleet.run(Span::from_seconds(2));
    for index in 0..8 {
        assert_eq!(named(&mut fleet, index), others, "at {index}");
    }
    let heir = Some(fleet.id(5));
    fleet.feed(3, Event::Leave { heir });
    fleet.run(Span::from_seconds(3));
    assert!(
        fleet.nodes[3]
            .effects
            .iter()
            .any(|(_, effect)| *effect == Effect::Left)
    );
    for index in others {
        let membership = &fleet.nodes[index].membership;
        assert_eq!(membership.heir(fleet.now, fleet.id(3)), heir, "at {index}");
    }
}

/// An entry is stopped by a signal for longer than its lease and continued. Before it hears anything
/// new it must know that others no longer count on it, and its next lease is a new one, so that it
/// reads the configuration again.
#[test]
fn a_pause_past_the_lease_ends_it() {
    let mut fleet = eight();
    fleet.set_frozen(0, true);
    fleet.run(Span::from_seconds(30));
    for index in 1..8 {
        assert_eq!(named(&mut fleet, index), (1..8).collect::<Vec<_>>());
    }
    assert!(!fleet.nodes[0].membership.holding().is_valid(fleet.now));
    fleet.set_frozen(0, false);
    assert!(!fleet.nodes[0].membership.holding().is_valid(fleet.now));
    fleet.run(Span::from_seconds(5));
    let holding = fleet.nodes[0].membership.holding();
    assert!(holding.is_valid(fleet.now));
    assert_eq!(holding.epoch, 2);
}

/// The table service is down for an hour. Nobody can renew, so every lease lapses; but nobody is
/// taken for gone, callers are still told all addresses, and an entry that dies in that time is no
/// longer named, because its heartbeat stands still.
#[test]
fn an_outage_of_an_hour_removes_no_live_entry() {
    let mut fleet = eight();
    fleet.table.set_down(true);
    fleet.run(Span::from_seconds(3_600));
    for index in 0..8 {
        assert!(!fleet.nodes[index].membership.holding().is_valid(fleet.now));
        assert_eq!(named(&mut fleet, index), (0..8).collect::<Vec<_>>());
    }
    fleet.nodes[7].dead = true;
    fleet.run(Span::from_seconds(20));
    assert_eq!(named(&mut fleet, 0), (0..7).collect::<Vec<_>>());
    fleet.table.set_down(false);
    fleet.run(Span::from_seconds(10));
    assert!(fleet.nodes[0].membership.holding().is_valid(fleet.now));
}

/// An entry is started while the table service is down. It knows only the peer addresses of its
/// settings; through them it learns of the others and they of it.
#[test]
fn an_entry_started_in_an_outage_is_found_through_peers() {
    let mut fleet = eight();
    fleet.table.set_down(true);
    fleet.run(Span::from_seconds(60));
    let late = fleet.start("b", Settings::default());
    fleet.run(Span::from_seconds(10));
    for index in 0..=late {
        assert_eq!(named(&mut fleet, index).len(), 8, "at {index}");
        assert_eq!(fleet.nodes[index].membership.directory().present_count(), 9);
    }
}

/// The cloud takes all entries of one zone without a word and starts as many new ones. Callers that
/// ask the rest are soon told the new ones and none of the old.
#[test]
fn a_zone_of_entries_is_replaced_at_once() {
    let mut fleet = eight();
    let lost = [0, 3, 6];
    for index in lost {
        fleet.nodes[index].dead = true;
    }
    for _ in lost {
        fleet.start("a", Settings::default());
    }
    fleet.run(Span::from_seconds(20));
    for index in [1, 2, 4, 5, 7, 8, 9, 10] {
        assert_eq!(named(&mut fleet, index), [1, 2, 4, 5, 7, 8, 9, 10]);
    }
}

/// Two regions lose each other for an hour while both reach the table service. Neither names the
/// other's entries, which its callers may not reach either; after the hour they find each other.
#[test]
fn partitioned_regions_rejoin() {
    let mut fleet = eight();
    for index in 0..4 {
        fleet.nodes[index].partition = 1;
    }
    fleet.run(Span::from_seconds(3_600));
    assert_eq!(named(&mut fleet, 0), [0, 1, 2, 3]);
    assert_eq!(named(&mut fleet, 7), [4, 5, 6, 7]);
    for index in 0..4 {
        fleet.nodes[index].partition = 0;
    }
    fleet.run(Span::from_seconds(30));
    assert_eq!(named(&mut fleet, 0).len(), 8);
    assert_eq!(named(&mut fleet, 7).len(), 8);
}

/// A backend server is leaving, and one entry alone hears of it while a third of the entries are
/// frozen. The others know within seconds; the frozen ones know soon after they are continued.
#[test]
fn items_reach_all_while_a_third_is_frozen() {
    let mut fleet = eight();
    for index in [1, 4, 7] {
        fleet.set_frozen(index, true);
    }
    let item = Item {
        topic: Topic::Leaving,
        key: "i-7.1".into(),
        version: 1,
        age_ms: 0,
        payload: Vec::new(),
    };
    fleet.feed(0, Event::Publish(item));
    let knows = |fleet: &Fleet, index: usize| fleet.nodes[index].membership.is_leaving("i-7.1");
    let others = [0, 2, 3, 5, 6];
    fleet
        .run_until(Span::from_seconds(3), |fleet| {
            others.iter().all(|index| knows(fleet, *index))
        })
        .unwrap();
    for index in [1, 4, 7] {
        fleet.set_frozen(index, false);
    }
    fleet
        .run_until(Span::from_seconds(10), |fleet| {
            (0..8).all(|index| knows(fleet, index))
        })
        .unwrap();
}

/// A request crashes two backend servers at one entry; its caller sends it again through the next
/// within milliseconds. Every entry must know by then, and what a crash makes suspect is more than a
/// round may carry, so it would not get there by rounds at all.
#[test]
fn a_quarantined_request_is_announced_at_once() {
    let mut fleet = eight();
    let item = Item {
        topic: Topic::Quarantine,
        key: "entry-1".into(),
        version: 1,
        age_ms: 0,
        payload: vec![7; 4_000],
    };
    fleet.feed(0, Event::Publish(item.clone()));
    fleet.run(Span::from_millis(20));
    for index in 1..8 {
        let effects = &fleet.nodes[index].effects;
        let received = effects.iter().any(|(_, effect)| match effect {
            Effect::Item(news) => news.topic == item.topic && news.payload == item.payload,
            _ => false,
        });
        assert!(received, "at {index}");
    }
}

/// Answers to renewals get lost after their effect, twice in a row. The entry finds its own row in
/// the service, takes it for its own and keeps its lease.
#[test]
fn a_lost_renewal_answer_keeps_the_lease() {
    let mut fleet = Fleet::default();
    fleet.start("a", Settings::default());
    fleet.run(Span::from_seconds(5));
    for _ in 0..2 {
        fleet.table.push_fault(store::fake::Fault::LostAnswer);
    }
    fleet.run(Span::from_seconds(20));
    let holding = fleet.nodes[0].membership.holding();
    assert!(holding.is_valid(fleet.now));
    assert_eq!(holding.epoch, 1);
}

/// Every entry names the same owner for a key, and a request is forwarded there once at most.
#[test]
fn a_key_has_one_owner_and_one_forward() {
    let mut fleet = eight();
    let now = fleet.now;
    let mut owned = [0; 8];
    for key in 0..800 {
        let first = fleet.nodes[0].membership.addresses(now, Some(key))[0].id;
        for index in 1..8 {
            let node = &mut fleet.nodes[index];
            assert_eq!(node.membership.addresses(now, Some(key))[0].id, first);
        }
        owned[first.0 as usize - 1] += 1;
        let forward = fleet.nodes[0].membership.forward_target(now, key, false);
        assert_eq!(forward, Some(first).filter(|id| *id != fleet.id(0)));
        assert_eq!(
            fleet.nodes[0].membership.forward_target(now, key, true),
            None
        );
    }
    assert!(owned.iter().all(|count| *count > 50), "{owned:?}");
}

/// An entry is frozen past its lease and called gone; then the table service goes down and the entry is
/// continued. It can't renew its row, but it runs: it tells the others so, and callers are sent to it.
#[test]
fn an_entry_marked_gone_returns_during_an_outage() {
    let mut fleet = eight();
    fleet.set_frozen(2, true);
    fleet.run(Span::from_seconds(30));
    assert_eq!(named(&mut fleet, 0).len(), 7);
    fleet.table.set_down(true);
    fleet.set_frozen(2, false);
    let id = fleet.id(2);
    let back = fleet.run_until(Span::from_seconds(10), |fleet| {
        let mut others = fleet.nodes.iter();
        others.all(|node| {
            let known = node.membership.directory().get(id);
            known.is_some_and(|known| known.is_usable(fleet.now, Span::from_seconds(8)))
        })
    });
    assert!(back.is_some());
    for index in 0..8 {
        assert_eq!(named(&mut fleet, index).len(), 8, "at {index}");
    }
}

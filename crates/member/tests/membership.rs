//! Members that start, leave, pause and lose each other, in virtual time.

use clock::Span;
use lease::holder;
use member::configs::membership::Settings;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use member::event::Effect;
use member::event::Event;
use member::fake::Fleet;

/// Starts eight entries in three zones and lets them discover each other.
fn eight_entries() -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..8 {
        fleet.start(["a", "b", "c"][index % 3], Settings::default());
    }
    fleet.run(Span::from_seconds(15));
    fleet
}

/// Returns the indexes of the entries that `index` gives to a caller.
fn offered(fleet: &mut Fleet, index: usize) -> Vec<usize> {
    let now = fleet.now;
    let mut offered: Vec<usize> = fleet.nodes[index]
        .membership
        .addresses(now, None)
        .iter()
        .map(|endpoint| endpoint.id.0 as usize - 1)
        .collect();
    offered.sort_unstable();
    offered
}

#[test]
fn all_entries_hold_leases_and_name_each_other() {
    let mut fleet = eight_entries();
    for index in 0..8 {
        assert!(fleet.nodes[index].membership.holding().is_valid(fleet.now));
        assert_eq!(fleet.nodes[index].membership.holding().epoch, 1);
        assert_eq!(offered(&mut fleet, index), (0..8).collect::<Vec<_>>());
    }
}

/// A caller that receives the address of a stopping entry would use it for the answer's whole lifetime
/// and fail there, so no entry may give it out.
#[test]
fn a_draining_entry_is_soon_offered_by_nobody() {
    let mut fleet = eight_entries();
    fleet.feed(3, Event::Drain);
    let others: Vec<usize> = (0..8).filter(|index| *index != 3).collect();
    fleet.run(Span::from_seconds(2));
    for index in 0..8 {
        assert_eq!(offered(&mut fleet, index), others, "at {index}");
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

/// An entry is suspended for longer than its lease and resumed. It must know immediately that its lease
/// is invalid, and its next lease has a new epoch, so that it reads the configuration again.
#[test]
fn a_pause_past_the_lease_ends_it() {
    let mut fleet = eight_entries();
    fleet.set_frozen(0, true);
    fleet.run(Span::from_seconds(30));
    for index in 1..8 {
        assert_eq!(offered(&mut fleet, index), (1..8).collect::<Vec<_>>());
    }
    assert!(!fleet.nodes[0].membership.holding().is_valid(fleet.now));
    fleet.set_frozen(0, false);
    assert!(!fleet.nodes[0].membership.holding().is_valid(fleet.now));
    fleet.run(Span::from_seconds(5));
    let holding = fleet.nodes[0].membership.holding();
    assert!(holding.is_valid(fleet.now));
    assert_eq!(holding.epoch, 2);
}

/// During an outage of the table service all leases lapse, but live members must not count as gone:
/// callers still receive all addresses, except of an entry that dies meanwhile, whose heartbeat stops.
#[test]
fn an_outage_of_an_hour_removes_no_live_entry() {
    let mut fleet = eight_entries();
    fleet.table.set_down(true);
    fleet.run(Span::from_seconds(3_600));
    for index in 0..8 {
        assert!(!fleet.nodes[index].membership.holding().is_valid(fleet.now));
        assert_eq!(offered(&mut fleet, index), (0..8).collect::<Vec<_>>());
    }
    fleet.nodes[7].dead = true;
    fleet.run(Span::from_seconds(20));
    assert_eq!(offered(&mut fleet, 0), (0..7).collect::<Vec<_>>());
    fleet.table.set_down(false);
    fleet.run(Span::from_seconds(10));
    assert!(fleet.nodes[0].membership.holding().is_valid(fleet.now));
}

/// An entry that starts during an outage of the table service knows only its seed addresses, through
/// which it and the others must discover each other.
#[test]
fn an_entry_started_in_an_outage_is_found_through_peers() {
    let mut fleet = eight_entries();
    fleet.table.set_down(true);
    fleet.run(Span::from_seconds(60));
    let late = fleet.start("b", Settings::default());
    fleet.run(Span::from_seconds(10));
    for index in 0..=late {
        assert_eq!(offered(&mut fleet, index).len(), 8, "at {index}");
        assert_eq!(fleet.nodes[index].membership.directory().present_count(), 9);
    }
}

/// All entries of one zone are lost without leaving and replaced by new ones. Callers must soon receive
/// only the addresses of the remaining and new entries.
#[test]
fn a_zone_of_entries_is_replaced_at_once() {
    let mut fleet = eight_entries();
    let lost = [0, 3, 6];
    for index in lost {
        fleet.nodes[index].dead = true;
    }
    for _ in lost {
        fleet.start("a", Settings::default());
    }
    fleet.run(Span::from_seconds(20));
    for index in [1, 2, 4, 5, 7, 8, 9, 10] {
        assert_eq!(offered(&mut fleet, index), [1, 2, 4, 5, 7, 8, 9, 10]);
    }
}

/// Two regions lose each other but not the table service. Neither may give out the other's entries, which
/// its callers may not reach either; after the partition has healed they must rejoin.
#[test]
fn partitioned_regions_rejoin() {
    let mut fleet = eight_entries();
    for index in 0..4 {
        fleet.nodes[index].partition = 1;
    }
    fleet.run(Span::from_seconds(3_600));
    assert_eq!(offered(&mut fleet, 0), [0, 1, 2, 3]);
    assert_eq!(offered(&mut fleet, 7), [4, 5, 6, 7]);
    for index in 0..4 {
        fleet.nodes[index].partition = 0;
    }
    fleet.run(Span::from_seconds(30));
    assert_eq!(offered(&mut fleet, 0).len(), 8);
    assert_eq!(offered(&mut fleet, 7).len(), 8);
}

/// One entry learns that a backend server is leaving while a third of the entries are frozen. The others
/// must know within seconds, the frozen ones soon after they are resumed.
#[test]
fn items_reach_all_while_a_third_is_frozen() {
    let mut fleet = eight_entries();
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

/// A request crashes two backend servers, and its caller retries it through another entry within
/// milliseconds, by which time every entry must know. The item of a crash exceeds a round's size, so
/// rounds would never carry it.
#[test]
fn a_quarantined_request_is_announced_at_once() {
    let mut fleet = eight_entries();
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
            Effect::Item(other) => other.topic == item.topic && other.payload == item.payload,
            _ => false,
        });
        assert!(received, "at {index}");
    }
}

/// Answers to renewals are lost twice in a row, after the writes took effect. The entry must recognize
/// the row as its own and keep its lease.
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

/// All entries agree on a key's owner, and a request is forwarded there at most once.
#[test]
fn a_key_has_one_owner_and_one_forward() {
    let mut fleet = eight_entries();
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

/// An entry is frozen past its lease and marked gone, and resumes during an outage of the table service.
/// It can't renew its row, but its gossip must make it available to callers again.
#[test]
fn an_entry_marked_gone_returns_during_an_outage() {
    let mut fleet = eight_entries();
    fleet.set_frozen(2, true);
    fleet.run(Span::from_seconds(30));
    assert_eq!(offered(&mut fleet, 0).len(), 7);
    fleet.table.set_down(true);
    fleet.set_frozen(2, false);
    let id = fleet.id(2);
    let returned = fleet.run_until(Span::from_seconds(10), |fleet| {
        let mut others = fleet.nodes.iter();
        others.all(|node| {
            let known = node.membership.directory().get(id);
            known.is_some_and(|known| known.is_usable(fleet.now, Span::from_seconds(8)))
        })
    });
    assert!(returned.is_some());
    for index in 0..8 {
        assert_eq!(offered(&mut fleet, index).len(), 8, "at {index}");
    }
}

/// Guards against a list of peers that holds a lost member for good, since another one joined in the same message.
#[test]
fn a_member_that_takes_the_place_of_another_is_told_to_all_parts() {
    let mut fleet = eight_entries();
    let lost = fleet.id(1);
    let directory = fleet.nodes[0].membership.directory();
    let mut record = directory.get(lost).expect("known").record.clone();
    let mut joined = record.clone();
    joined.row.id = holder::Id(9);
    record.gone = true;
    fleet.nodes[0].effects.clear();
    let digest = Digest {
        records: vec![record, joined],
        ..Digest::default()
    };
    fleet.feed(0, Event::Digest(digest));
    let effects = fleet.nodes[0].effects.iter();
    let mut peers = effects.filter_map(|(_, effect)| match effect {
        Effect::Peers(peers) => Some(peers.clone()),
        _ => None,
    });
    let expected: Vec<holder::Id> = (3..=9).map(holder::Id).collect();
    assert_eq!(peers.next_back(), Some(expected));
}

/// Guards against a lost member that stays among the peers for a day: its last renewals failed and refuted that its lease had
/// lapsed.
#[test]
fn a_member_that_ends_while_its_renewals_fail_is_known_to_be_gone() {
    let mut fleet = eight_entries();
    let lost = fleet.id(1);
    fleet.nodes[1].store_cut = true;
    fleet.run(Span::from_seconds(40));
    let is_present = |fleet: &Fleet, index: usize| {
        let member = fleet.nodes[index].membership.directory().get(lost);
        member.is_some_and(|member| member.is_present())
    };
    assert!(is_present(&fleet, 0), "it refutes the lapse");
    fleet.nodes[1].dead = true;
    fleet.run(Span::from_seconds(180));
    let believers: Vec<usize> = (0..8)
        .filter(|index| *index != 1 && is_present(&fleet, *index))
        .collect();
    assert_eq!(believers, Vec::<usize>::new());
}

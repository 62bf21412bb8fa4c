//! Assignment of roles for entries of different capacity, with and without the table service.

use std::collections::BTreeSet;

use lease::holder;
use policy::rendezvous;
use role::candidate::Candidate;
use role::roster::HUB_COUNT;
use role::roster::Roster;
use smol_str::SmolStr;

const ZONES: [&str; 3] = ["north", "south", "west"];
const SIZES: [u64; 4] = [8, 62, 295, 840];

/// Returns entries of which every tenth has full capacity.
fn candidates(count: u64) -> Vec<Candidate> {
    let all = (0..count).map(|number| Candidate {
        id: holder::Id(rendezvous::weight(5, number)),
        zone: SmolStr::new_static(ZONES[number as usize % ZONES.len()]),
        capacity: if number.is_multiple_of(10) { 255 } else { 61 },
        store_lost: false,
    });
    all.collect()
}

/// Cuts half of the entries off from the table service.
fn cut_half(candidates: &mut [Candidate], seed: u64) {
    for candidate in candidates {
        candidate.store_lost = rendezvous::weight(seed, candidate.id.0).is_multiple_of(2);
    }
}

/// Entries that disagree on a role would both fill it, so the order in which they know the others must
/// not matter.
#[test]
fn all_entries_assign_the_same_roles() {
    for count in SIZES {
        let mut known = candidates(count);
        cut_half(&mut known, 1);
        let roster = Roster::new(&known);
        known.reverse();
        assert_eq!(Roster::new(&known), roster, "{count} entries");
    }
}

/// Both hubs were cut off from the table service, and no other entry tried to take the lease of the
/// duties. An entry that the service answers must come first if any zone has one.
#[test]
fn entries_with_the_table_service_read_first() {
    for count in SIZES {
        for seed in 0..50 {
            let mut known = candidates(count);
            cut_half(&mut known, seed);
            let lost: BTreeSet<holder::Id> = known
                .iter()
                .filter(|candidate| candidate.store_lost)
                .map(|candidate| candidate.id)
                .collect();
            let roster = Roster::new(&known);
            let readers = roster.readers();
            let answered = readers.iter().take_while(|id| !lost.contains(id)).count();
            assert!(
                answered >= 1 || lost.len() == known.len(),
                "{count}, seed {seed}"
            );
            assert!(readers[answered..].iter().all(|id| lost.contains(id)));
        }
    }
}

/// If hubs changed with each outage of the table service, all counts would have to be handed over during
/// it.
#[test]
fn hubs_do_not_change_during_an_outage() {
    let mut known = candidates(62);
    let before = Roster::new(&known);
    cut_half(&mut known, 3);
    let after = Roster::new(&known);
    assert_eq!(after.hubs(), before.hubs());
    assert_eq!(after.homes(), before.homes());
}

/// Small entries on narrow links became hubs and lost the table service and replicas to the hubs' traffic.
#[test]
fn hubs_and_homes_are_able_and_disjoint() {
    for count in [62, 295, 840] {
        let known = candidates(count);
        let able: BTreeSet<holder::Id> = known
            .iter()
            .filter(|candidate| candidate.capacity == 255)
            .map(|candidate| candidate.id)
            .collect();
        let roster = Roster::new(&known);
        assert_eq!(roster.hubs().len(), HUB_COUNT);
        assert!(roster.hubs().iter().all(|id| able.contains(id)));
        assert!(roster.homes().iter().all(|id| able.contains(id)));
        assert!(roster.homes().iter().all(|id| !roster.hubs().contains(id)));
    }
}

/// If all readers were in one zone, the loss of that zone would end all reads.
#[test]
fn every_zone_has_a_reader() {
    let known = candidates(62);
    let roster = Roster::new(&known);
    let zones: BTreeSet<&SmolStr> = known
        .iter()
        .filter(|candidate| roster.readers().contains(&candidate.id))
        .map(|candidate| &candidate.zone)
        .collect();
    assert_eq!(zones.len(), ZONES.len());
}

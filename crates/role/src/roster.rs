//! The roles and those who fill them, the first one first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use lease::holder;
use policy::rendezvous;
use smol_str::SmolStr;

use crate::candidate::Candidate;

/// Hubs: with one, its loss would silence all until everyone has noticed.
pub const HUB_COUNT: usize = 2;
/// Most readers: each that stands by costs calls of the table service, and one of five is nearly always fit.
const MAX_READERS: usize = 5;
/// Entries that can take less than this part of the most able one decide on no account: a busy account's home is asked
/// some hundred times a second.
const MIN_HOME_CAPACITY_RATIO: f64 = 0.5;
/// With fewer able entries than that, any entry may decide: the accounts would all hang on one or two.
const MIN_HOMES: usize = 4;
/// What ranks are drawn from.
const HUB_KEY: &str = "hub";
const READER_KEY: &str = "reader";

/// Who fills which role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    hubs: Vec<holder::Id>,
    readers: Vec<holder::Id>,
    homes: Vec<holder::Id>,
    entries: Vec<holder::Id>,
}

impl Roster {
    /// Assigns the roles among these entries.
    pub fn new(candidates: &[Candidate]) -> Roster {
        let hubs = hubs(candidates);
        let mut entries: Vec<holder::Id> =
            candidates.iter().map(|candidate| candidate.id).collect();
        entries.sort_unstable();
        Roster {
            readers: readers(candidates, &hubs),
            homes: homes(candidates, &hubs),
            entries,
            hubs,
        }
    }

    /// Those who add up all counts and pass them to everyone. They need room and their peers, not the table service.
    pub fn hubs(&self) -> &[holder::Id] {
        &self.hubs
    }

    /// Those who need the table service for all, each in the place of those before it: the hubs, then the most able
    /// entry of each zone. Entries that the table service doesn't answer come last.
    pub fn readers(&self) -> &[holder::Id] {
        &self.readers
    }

    /// All that take part.
    pub fn entries(&self) -> &[holder::Id] {
        &self.entries
    }

    /// Those who decide on accounts' quotas. A hub writes to all entries at once, twice a second, and whoever asks it
    /// meanwhile waits for that; so hubs are none.
    pub fn homes(&self) -> &[holder::Id] {
        &self.homes
    }
}

/// The entries that can take the most, by a hash among equal ones.
///
/// Guards against small entries on narrow links: what a hub sends to 75 others fills half of 10 Mbit/s, and beside its
/// callers' answers it lost the table service and connections to replicas.
fn hubs(candidates: &[Candidate]) -> Vec<holder::Id> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by_key(|candidate| Reverse(rank(candidate, HUB_KEY)));
    ranked.truncate(HUB_COUNT);
    ranked.into_iter().map(|candidate| candidate.id).collect()
}

/// Guards against one fate for all: hubs are large entries of any zone, and a cut took both from the table service for
/// ten seconds while others could reach it.
fn readers(candidates: &[Candidate], hubs: &[holder::Id]) -> Vec<holder::Id> {
    let priority = |candidate: &Candidate| (!candidate.store_lost, rank(candidate, READER_KEY));
    let mut best: BTreeMap<&SmolStr, &Candidate> = BTreeMap::new();
    for candidate in candidates {
        let first = best.entry(&candidate.zone).or_insert(candidate);
        if priority(candidate) > priority(first) {
            *first = candidate;
        }
    }
    let mut others: Vec<&Candidate> = best.into_values().collect();
    others.retain(|candidate| !hubs.contains(&candidate.id));
    others.sort_by_key(|candidate| Reverse(priority(candidate)));
    others.truncate(MAX_READERS - HUB_COUNT);
    let find = |id: &holder::Id| candidates.iter().find(|candidate| candidate.id == *id);
    let mut readers: Vec<&Candidate> = hubs.iter().filter_map(find).chain(others).collect();
    readers.sort_by_key(|candidate| candidate.store_lost);
    readers.into_iter().map(|candidate| candidate.id).collect()
}

fn homes(candidates: &[Candidate], hubs: &[holder::Id]) -> Vec<holder::Id> {
    let max_capacity = candidates
        .iter()
        .map(|candidate| candidate.capacity)
        .max()
        .unwrap_or(0);
    let min_capacity = f64::from(max_capacity) * MIN_HOME_CAPACITY_RATIO;
    let is_able = |candidate: &&Candidate| f64::from(candidate.capacity) >= min_capacity;
    let enough = candidates.iter().filter(is_able).count() >= MIN_HOMES;
    let homes = candidates
        .iter()
        .filter(|candidate| !enough || is_able(candidate));
    let homes = homes.map(|candidate| candidate.id);
    let mut homes: Vec<holder::Id> = homes.filter(|id| !hubs.contains(id)).collect();
    homes.sort_unstable();
    homes
}

fn rank(candidate: &Candidate, key: &str) -> (u8, u64, holder::Id) {
    let key = rendezvous::identity(key);
    (
        candidate.capacity,
        rendezvous::weight(key, candidate.id.0),
        candidate.id,
    )
}

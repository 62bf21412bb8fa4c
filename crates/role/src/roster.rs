//! Assignment of roles to entries, in order of rank.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use lease::holder;
use policy::rendezvous;
use smol_str::SmolStr;

use crate::candidate::Candidate;

/// Number of hubs. With only one, its loss would stop all reports until every entry has detected it.
pub const HUB_COUNT: usize = 2;
/// Most readers. Each standby costs calls of the table service, and one of five is nearly always fit.
const MAX_READERS: usize = 5;
/// Least capacity of a home, as a ratio of the largest one: a busy account's home receives about a
/// hundred requests per second.
const MIN_HOME_CAPACITY_RATIO: f64 = 0.5;
/// With fewer entries of that capacity, any entry can be a home, or one or two would have all accounts.
const MIN_HOMES: usize = 4;
/// Hash keys of the ranks.
const HUB_KEY: &str = "hub";
const READER_KEY: &str = "reader";

/// The entries that fill each role.
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
        let hubs = choose_hubs(candidates);
        let mut entries: Vec<holder::Id> =
            candidates.iter().map(|candidate| candidate.id).collect();
        entries.sort_unstable();
        Roster {
            readers: choose_readers(candidates, &hubs),
            homes: choose_homes(candidates, &hubs),
            entries,
            hubs,
        }
    }

    /// Returns the hubs, which add up all counts and send them to every entry. They need capacity, not
    /// the table service.
    pub fn hubs(&self) -> &[holder::Id] {
        &self.hubs
    }

    /// Returns the entries that use the table service for all, each a standby for those before it: the
    /// hubs, then the entry with the most capacity in each zone. Entries that the table service doesn't
    /// answer come last.
    pub fn readers(&self) -> &[holder::Id] {
        &self.readers
    }

    /// Returns all entries, in order of id.
    pub fn entries(&self) -> &[holder::Id] {
        &self.entries
    }

    /// Returns the entries that decide on accounts' quotas. Hubs are excluded: twice a second a hub
    /// writes to all entries, and a quota request would wait for that.
    pub fn homes(&self) -> &[holder::Id] {
        &self.homes
    }
}

/// Returns the entries with the most capacity, by hash among equal ones.
///
/// Guards against small entries on narrow links: a hub's messages to 75 others fill half of 10 Mbit/s.
/// Together with answers to callers they cut a small entry off from the table service and from replicas.
fn choose_hubs(candidates: &[Candidate]) -> Vec<holder::Id> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by_key(|candidate| Reverse(rank(candidate, HUB_KEY)));
    ranked.truncate(HUB_COUNT);
    ranked.into_iter().map(|candidate| candidate.id).collect()
}

/// Returns the hubs and the entry with the most capacity in each zone; see [`Roster::readers`].
///
/// Guards against a cut that hits all readers: hubs are large entries of any zone, and one cut separated
/// both from the table service for ten seconds while others could reach it.
fn choose_readers(candidates: &[Candidate], hubs: &[holder::Id]) -> Vec<holder::Id> {
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

fn choose_homes(candidates: &[Candidate], hubs: &[holder::Id]) -> Vec<holder::Id> {
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

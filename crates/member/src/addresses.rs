//! Chooses the entries whose addresses a caller receives.
//!
//! Load pattern: callers cache an answer for its lifetime and send their requests to its first address.
//! Without a key, answers spread callers over all entries by weight; with a prefix's key its owner comes
//! first, so that requests with the same prefix meet its cache. An entry that is draining, gone or silent
//! is never included, since callers would use it for the answer's whole lifetime.

use clock::Span;
use clock::Time;
use lease::holder;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

use crate::directory::Directory;
use crate::directory::Member;
use crate::rendezvous;

/// Weight of an idle entry.
const FULL_WEIGHT: u32 = 100;
/// Weight of a full entry. Not zero, so that some callers find out that it has capacity again.
const LEAST_WEIGHT: u32 = 5;

/// An entry in an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The entry's id.
    pub id: holder::Id,
    /// `host:port` to connect to.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Relative share of callers that choose at random; at least 1.
    pub weight: u32,
}

/// Returns up to `limit` entries: the key's owner first, the others drawn by weight, evenly over the zones.
pub fn choose(
    directory: &Directory,
    now: Time,
    timeout: Span,
    key: Option<u64>,
    limit: usize,
    random: &mut Pcg64Mcg,
) -> Vec<Endpoint> {
    let mut usable: Vec<Endpoint> = directory
        .iter()
        .filter(|(_, member)| member.is_usable(now, timeout))
        .map(|(id, member)| endpoint(id, member))
        .collect();
    let mut chosen = Vec::new();
    if let Some(key) = key
        && let Some(owner) = rendezvous::owner(key, usable.iter().map(|item| item.id))
    {
        move_first(&mut usable, &mut chosen, |item| item.id == owner);
    }
    while chosen.len() < limit && !usable.is_empty() {
        let fewest = usable
            .iter()
            .map(|item| zone_count(&chosen, &item.zone))
            .min()
            .unwrap_or(0);
        let total: u32 = usable
            .iter()
            .filter(|item| zone_count(&chosen, &item.zone) == fewest)
            .map(|item| item.weight)
            .sum();
        let mut remaining = random.random_range(0..total.max(1));
        let drawn = usable
            .iter()
            .filter(|item| zone_count(&chosen, &item.zone) == fewest)
            .find(|item| {
                let is_drawn = remaining < item.weight;
                remaining = remaining.saturating_sub(item.weight);
                is_drawn
            })
            .map(|item| item.id);
        move_first(&mut usable, &mut chosen, |item| Some(item.id) == drawn);
    }
    chosen
}

/// Moves the first match from `usable` to `chosen`.
fn move_first(
    usable: &mut Vec<Endpoint>,
    chosen: &mut Vec<Endpoint>,
    matches: impl Fn(&Endpoint) -> bool,
) {
    let index = usable.iter().position(matches).unwrap_or(0);
    chosen.push(usable.remove(index));
}

fn zone_count(chosen: &[Endpoint], zone: &str) -> usize {
    chosen.iter().filter(|item| item.zone == zone).count()
}

fn endpoint(id: holder::Id, member: &Member) -> Endpoint {
    let load = u32::from(member.beat.load);
    let weight = FULL_WEIGHT - FULL_WEIGHT * load / u32::from(u8::MAX);
    Endpoint {
        id,
        address: member.record.row.address.clone(),
        zone: member.record.row.zone.clone(),
        weight: weight.max(LEAST_WEIGHT),
    }
}

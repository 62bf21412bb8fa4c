//! Finds the cheapest capacity that survives the loss of any one zone.

use std::cmp::Ordering;

/// Maximum number of caps on a zone's capacity to try; if there are fewer, all are tried.
const MAX_CAPS: u64 = 64;

/// Instances of one kind that are available in a zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tier {
    /// Index of the zone.
    pub zone: usize,
    /// Price of one instance.
    pub price: f64,
    /// Capacity of one instance; at least 1.
    pub capacity: u32,
    /// Number of instances available; `None` for no limit.
    pub count: Option<u32>,
}

/// Number of instances taken from each tier.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Choice {
    /// Number by tier.
    pub counts: Vec<u32>,
    /// Total price.
    pub price: f64,
    /// Total capacity.
    pub total: u64,
    /// Capacity left after the loss of the largest zone.
    pub without_one: u64,
}

/// Returns the cheapest choice that carries `need` without any one zone. If there is none, returns the one
/// that carries most without one zone, and among those the one that carries most.
///
/// For every cap on a zone's capacity the cheapest tiers are taken in order, which is optimal for that cap
/// up to the size of one instance; the cheapest over all caps is returned.
pub(super) fn cheapest(tiers: &[Tier], zones: usize, need: u32) -> Choice {
    let need = u64::from(need);
    let mut order: Vec<usize> = (0..tiers.len()).collect();
    order.sort_by(|one, other| by_unit_price(&tiers[*one], &tiers[*other]));
    let largest = tiers.iter().map(|tier| u64::from(tier.capacity)).max();
    let min_cap = need.div_ceil(zones.saturating_sub(1).max(1) as u64);
    let max_cap = need + largest.unwrap_or(0);
    let step = (max_cap - min_cap).div_ceil(MAX_CAPS).max(1);
    let caps = (min_cap..=max_cap).step_by(step as usize);
    let choices = caps.map(|cap| fill(tiers, &order, zones, need, cap));
    let preference = |one: &Choice, other: &Choice| by_preference(one, other, need);
    choices.min_by(preference).unwrap_or(Choice {
        counts: vec![0; tiers.len()],
        price: 0.0,
        total: 0,
        without_one: 0,
    })
}

fn by_unit_price(one: &Tier, other: &Tier) -> Ordering {
    let unit_price = |tier: &Tier| tier.price / f64::from(tier.capacity);
    unit_price(one).total_cmp(&unit_price(other))
}

/// Orders choices by shortfall, then by price.
fn by_preference(one: &Choice, other: &Choice, need: u64) -> Ordering {
    let shortfall = |choice: &Choice| {
        let without_one = need.saturating_sub(choice.without_one);
        (without_one, need.saturating_sub(choice.total))
    };
    let order = shortfall(one).cmp(&shortfall(other));
    order.then(one.price.total_cmp(&other.price))
}

/// Takes the cheapest tiers first, with no zone above the cap, until the need is met.
fn fill(tiers: &[Tier], order: &[usize], zones: usize, need: u64, cap: u64) -> Choice {
    let mut counts = vec![0; tiers.len()];
    let mut carried = vec![0_u64; zones];
    let mut price = 0.0;
    for index in order {
        let tier = &tiers[*index];
        let capacity = u64::from(tier.capacity);
        let room = cap.saturating_sub(carried[tier.zone]) / capacity;
        let count = missing(&carried, tier.zone, need)
            .div_ceil(capacity)
            .min(room)
            .min(u64::from(tier.count.unwrap_or(u32::MAX)));
        counts[*index] = count as u32;
        carried[tier.zone] += count * capacity;
        price += tier.price * count as f64;
    }
    Choice {
        counts,
        price,
        total: carried.iter().sum(),
        without_one: without_one(&carried),
    }
}

/// Returns the capacity that the zone must add for the rest to meet the need without any other zone.
fn missing(carried: &[u64], zone: usize, need: u64) -> u64 {
    let total: u64 = carried.iter().sum();
    let others = carried
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != zone);
    let largest = others.map(|(_, carried)| *carried).max().unwrap_or(0);
    // The loss of this zone is covered by the others.
    (need + largest).saturating_sub(total)
}

fn without_one(carried: &[u64]) -> u64 {
    let total: u64 = carried.iter().sum();
    total - carried.iter().copied().max().unwrap_or(0)
}

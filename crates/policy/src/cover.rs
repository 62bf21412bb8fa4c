//! Plans the number of reclaimable and on-demand replicas per zone.
//!
//! Reclaimable replicas cost a fifth of on-demand ones, but are reclaimed a zone at a time, within
//! seconds and several times in a row, while the market has no replacements. Any replica starts
//! within seconds. On-demand replicas alone cost five times as much; reclaimable ones alone are all
//! gone after three reclaims, and every request is refused until the market reopens.
//!
//! Reclaimable replicas are spread evenly over all zones, enough of them that prompts rarely queue.
//! On-demand replicas cover only shortfalls: while reclaimable ones are missing, enough to carry
//! the work at a higher utilization; and in case the largest remaining zone is reclaimed next,
//! enough to carry it at all. A reclaim is announced two to three seconds ahead and a replica
//! starts in four, so only the difference must be bridged.
//!
//! [`crate::mix`] plans by the hour, names the instances to stop, and keeps enough capacity for the
//! loss of any one zone at all times. Where replicas start in seconds, that would order on-demand
//! replicas for the full load after the first reclaim and stop reclaimable ones in the middle of
//! it.

use crate::configs::cover::Config;

/// State of one zone; replicas that are leaving don't count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Zone {
    /// Price of an on-demand replica.
    pub price: f64,
    /// Reclaimable replicas.
    pub reclaimable: Stock,
    /// On-demand replicas.
    pub on_demand: Stock,
    /// Whether the market has reclaimable replicas available.
    pub open: bool,
}

/// Replicas of one market in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stock {
    /// Replicas that serve.
    pub live: u32,
    /// Replicas that serve or start. Invariant: at least `live`.
    pub expected: u32,
}

/// Bounds per zone, for both markets together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Minimum number of replicas.
    pub min: u32,
    /// Maximum number of replicas.
    pub max: u32,
    /// Whether reclaimable replicas may be used at all.
    pub reclaimable: bool,
}

/// Planned number of replicas in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Reclaimable replicas.
    pub reclaimable: u32,
    /// On-demand replicas.
    pub on_demand: u32,
}

/// Plans all zones for work that keeps `busy` replicas fully busy.
pub fn plan(config: &Config, busy: f64, zones: &[Zone], bounds: Bounds) -> Vec<Wanted> {
    let mut wanted = vec![Wanted::default(); zones.len()];
    if zones.is_empty() {
        return wanted;
    }
    let target = replicas_for(busy, config.target_utilization);
    if !bounds.reclaimable {
        add_on_demand(&mut wanted, zones, bounds, target);
        return wanted;
    }
    let missing = |reclaimable: &[u32]| {
        let now = replicas_for(busy, config.shortage_utilization)
            .saturating_sub(reclaimable.iter().sum());
        let next = replicas_for(busy, config.failover_utilization)
            .saturating_sub(without_largest(reclaimable));
        now.max(next)
    };
    // On-demand replicas are released only once their replacements serve.
    let serving_reclaimable: Vec<u32> = zones.iter().map(|zone| zone.reclaimable.live).collect();
    let serving_on_demand: u32 = zones.iter().map(|zone| zone.on_demand.live).sum();
    let kept = missing(&serving_reclaimable).min(serving_on_demand);
    add_on_demand(&mut wanted, zones, bounds, kept);
    let per_zone = target.div_ceil(zones.len() as u32).max(bounds.min);
    for (zone, wanted) in zones.iter().zip(&mut wanted) {
        let room = bounds.max.saturating_sub(wanted.on_demand);
        wanted.reclaimable = match zone.open {
            true => per_zone.min(room),
            // The market can't add any, and what is released now couldn't be replaced.
            false => zone.reclaimable.expected.min(room),
        };
    }
    let planned: Vec<u32> = wanted.iter().map(|zone| zone.reclaimable).collect();
    add_on_demand(
        &mut wanted,
        zones,
        bounds,
        missing(&planned).saturating_sub(kept),
    );
    wanted
}

/// Returns the sum over all zones but the largest.
fn without_largest(counts: &[u32]) -> u32 {
    counts.iter().sum::<u32>() - counts.iter().max().copied().unwrap_or(0)
}

/// Returns the number of replicas that the work fills to the given utilization.
fn replicas_for(busy: f64, utilization: f64) -> u32 {
    (busy / utilization).ceil() as u32
}

/// Adds on-demand replicas one by one within the bounds. Serving ones come first, then starting
/// ones, so that none is replaced needlessly; new ones go to the zone with the most room, which
/// leaves room for reclaimable ones everywhere, and then to the cheapest.
fn add_on_demand(wanted: &mut [Wanted], zones: &[Zone], bounds: Bounds, count: u32) {
    for _ in 0..count {
        let taken = |index: usize| wanted[index].reclaimable + wanted[index].on_demand;
        let rank = |index: usize| {
            let stock = zones[index].on_demand;
            if wanted[index].on_demand < stock.live {
                0
            } else if wanted[index].on_demand < stock.expected {
                1
            } else {
                2 + taken(index)
            }
        };
        let free = (0..zones.len()).filter(|index| taken(*index) < bounds.max);
        let best = free.min_by(|one, other| {
            let by_rank = rank(*one).cmp(&rank(*other));
            by_rank.then(zones[*one].price.total_cmp(&zones[*other].price))
        });
        match best {
            Some(index) => wanted[index].on_demand += 1,
            None => return,
        }
    }
}

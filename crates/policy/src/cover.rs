//! How many reclaimable and on-demand replicas cover the work in each zone.
//!
//! Load pattern: reclaimable replicas cost a fifth and go a zone at a time, within seconds, several times
//! in a row, and none are to be had anywhere just then; any replica starts within seconds. Without it:
//! on-demand replicas alone cost five times as much; reclaimable ones alone are all gone after three
//! reclaims, and every request is refused until the market opens again.
//!
//! Reclaimable replicas stand evenly in all zones, so many that prompts seldom wait. On-demand replicas are had only
//! for what is missing: while some are gone, for the work to be carried less comfortably; and for the case that the
//! zone with the most of them goes next, for it to be carried at all. A reclaim is announced two to three seconds
//! ahead and a replica starts in four, so that only the time between must be bridged.
//!
//! [`crate::mix`] plans by the hour, names the instances to be stopped, and wants the whole work carried
//! without any one zone at all times. Where replicas start in seconds that bought on-demand replicas for
//! the full load after the first reclaim, and stopped reclaimable ones in the middle of it.

use crate::configs::cover::Config;

/// One zone as it stands. Replicas that leave don't count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Zone {
    /// Price of an on-demand replica there.
    pub price: f64,
    /// Reclaimable replicas.
    pub reclaimable: Stock,
    /// On-demand replicas.
    pub on_demand: Stock,
    /// Whether reclaimable replicas are to be had there.
    pub open: bool,
}

/// Replicas of one market in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stock {
    /// Those that serve.
    pub live: u32,
    /// Those, and the ones that were ordered and start. Invariant: at least `live`.
    pub expected: u32,
}

/// Bounds for each zone, both markets together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Fewest replicas.
    pub min: u32,
    /// Most replicas.
    pub max: u32,
    /// Whether there are reclaimable ones at all.
    pub reclaimable: bool,
}

/// What a zone should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Reclaimable replicas.
    pub reclaimable: u32,
    /// On-demand replicas.
    pub on_demand: u32,
}

/// Plans all zones for work that keeps `busy` replicas busy without a pause.
pub fn plan(config: &Config, busy: f64, zones: &[Zone], bounds: Bounds) -> Vec<Wanted> {
    let mut wanted = vec![Wanted::default(); zones.len()];
    if zones.is_empty() {
        return wanted;
    }
    let comfort = needed(busy, config.target_utilization);
    if !bounds.reclaimable {
        spread(&mut wanted, zones, bounds, comfort);
        return wanted;
    }
    let missing = |reclaimable: &[u32]| {
        let now =
            needed(busy, config.shortage_utilization).saturating_sub(reclaimable.iter().sum());
        let next =
            needed(busy, config.failover_utilization).saturating_sub(without_largest(reclaimable));
        now.max(next)
    };
    // On-demand replicas that serve are given back only once those that replace them serve too.
    let serving: Vec<u32> = zones.iter().map(|zone| zone.reclaimable.live).collect();
    let standing: u32 = zones.iter().map(|zone| zone.on_demand.live).sum();
    let kept = missing(&serving).min(standing);
    spread(&mut wanted, zones, bounds, kept);
    let each = comfort.div_ceil(zones.len() as u32).max(bounds.min);
    for (zone, wanted) in zones.iter().zip(&mut wanted) {
        let room = bounds.max.saturating_sub(wanted.on_demand);
        wanted.reclaimable = match zone.open {
            true => each.min(room),
            // Nothing can be added, and what is there must not be given back now.
            false => zone.reclaimable.expected.min(room),
        };
    }
    let planned: Vec<u32> = wanted.iter().map(|zone| zone.reclaimable).collect();
    spread(
        &mut wanted,
        zones,
        bounds,
        missing(&planned).saturating_sub(kept),
    );
    wanted
}

/// The sum over all zones but the largest.
fn without_largest(counts: &[u32]) -> u32 {
    counts.iter().sum::<u32>() - counts.iter().max().copied().unwrap_or(0)
}

/// Replicas that are filled to this part by the work.
fn needed(busy: f64, fill: f64) -> u32 {
    (busy / fill).ceil() as u32
}

/// Adds on-demand replicas one by one, within the bounds: those that serve come first, then those that
/// start, so that none moves for nothing; new ones go where most room is, which leaves room for
/// reclaimable ones everywhere, and then where they are cheapest.
fn spread(wanted: &mut [Wanted], zones: &[Zone], bounds: Bounds, count: u32) {
    for _ in 0..count {
        let taken = |at: usize| wanted[at].reclaimable + wanted[at].on_demand;
        let rank = |at: usize| {
            let stock = zones[at].on_demand;
            if wanted[at].on_demand < stock.live {
                0
            } else if wanted[at].on_demand < stock.expected {
                1
            } else {
                2 + taken(at)
            }
        };
        let free = (0..zones.len()).filter(|at| taken(*at) < bounds.max);
        let best = free.min_by(|one, other| {
            let by_rank = rank(*one).cmp(&rank(*other));
            by_rank.then(zones[*one].price.total_cmp(&zones[*other].price))
        });
        match best {
            Some(at) => wanted[at].on_demand += 1,
            None => return,
        }
    }
}

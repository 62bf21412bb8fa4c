//! Size classes: long jobs run on part of the replicas only.
//!
//! Guards against jobs of ten thousand tokens among jobs of a few hundred. Without classes long
//! jobs occupy every replica, and a short job behind a long prefill misses its target, although
//! short jobs are most of the requests and little of the work.
//!
//! As many replicas as the long jobs' share of the work needs are long lanes, and long jobs run
//! nowhere else. Short jobs run elsewhere while there is room and use a lane otherwise, so neither
//! class starves: while there are long jobs at least one replica is a lane, and lanes are never
//! closed to short jobs. Lanes are selected by hash, so entries agree on them without coordination.

use crate::configs::size::Config;
use crate::fair::Cost;
use crate::rendezvous;

/// Key under which replicas are ranked for lanes.
const LANE_KEY: u64 = 0x6c61_6e65;

/// Size class of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// An ordinary job.
    Short = 0,
    /// A job of many times the mean cost.
    Long = 1,
}

/// Running means of the cost of jobs and of long jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Classes {
    mean_cost: Option<f64>,
    long_cost: f64,
    total_cost: f64,
}

impl Classes {
    /// Classifies a job and records its cost.
    pub fn classify(&mut self, settings: &Config, cost: Cost) -> Class {
        let cost = cost as f64;
        let mean = *self.mean_cost.get_or_insert(cost);
        let is_long = settings.enabled && cost > mean * settings.long_factor;
        // Long jobs count as the threshold, so that a few of them don't raise it above the next
        // ones.
        let capped = cost.min(mean * settings.long_factor);
        self.mean_cost = Some(mean + settings.smoothing * (capped - mean));
        let long = if is_long { cost } else { 0.0 };
        self.long_cost += settings.smoothing * (long - self.long_cost);
        self.total_cost += settings.smoothing * (cost - self.total_cost);
        if is_long { Class::Long } else { Class::Short }
    }

    /// Returns how many of `replicas` are long lanes.
    pub fn lane_count(&self, settings: &Config, replicas: usize) -> usize {
        let share = if self.total_cost > 0.0 {
            self.long_cost / self.total_cost
        } else {
            0.0
        };
        if !settings.enabled || share < settings.min_share {
            return 0;
        }
        let others = (replicas as f64 * (1.0 - share)).ceil() as usize;
        replicas.saturating_sub(others).max(1).min(replicas)
    }
}

/// Returns the first `count` replicas in lane order.
pub fn select_lanes<T: Copy>(count: usize, replicas: impl Iterator<Item = (T, u64)>) -> Vec<T> {
    if count == 0 {
        return Vec::new();
    }
    let mut ranked: Vec<(u64, T)> = replicas
        .map(|(replica, identity)| (rendezvous::weight(LANE_KEY, identity), replica))
        .collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, replica)| replica)
        .collect()
}

//! Size classes: long jobs hold only part of the replicas.
//!
//! Load pattern: archive bundles of ten thousand tokens among captions of a few hundred. Without
//! classes bundles lie on every replica, and a caption behind a bundle's prefill misses its target,
//! although captions are most of the requests and little of the work.
//!
//! As many replicas as the long jobs' part of the work needs are long lanes: long jobs run there and
//! nowhere else. Short jobs go elsewhere while there is room, and to a lane else, so neither class
//! starves: at least one replica is a lane while there are long jobs, and a lane is never closed to
//! short ones. Which replicas are lanes follows from a hash, so entries agree on it untold.

use crate::configs::size::Config;
use crate::fair::Cost;
use crate::rendezvous;

/// Key under which replicas are ranked as lanes.
const LANES: u64 = 0x6c61_6e65;

/// Short or long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// The usual.
    Short = 0,
    /// Many times the mean cost.
    Long = 1,
}

/// Knows the mean cost and the long jobs' part of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Classes {
    mean: Option<f64>,
    long: f64,
    all: f64,
}

impl Classes {
    /// The class of a job; notes its cost.
    pub fn classify(&mut self, settings: &Config, cost: Cost) -> Class {
        let cost = cost as f64;
        let mean = *self.mean.get_or_insert(cost);
        let is_long = settings.enabled && cost > mean * settings.long_factor;
        // A long job counts as the threshold, so that a few of them don't make the next ones short.
        let counted = cost.min(mean * settings.long_factor);
        self.mean = Some(mean + settings.smoothing * (counted - mean));
        let long = if is_long { cost } else { 0.0 };
        self.long += settings.smoothing * (long - self.long);
        self.all += settings.smoothing * (cost - self.all);
        if is_long { Class::Long } else { Class::Short }
    }

    /// How many of so many replicas are long lanes.
    pub fn lane_count(&self, settings: &Config, replicas: usize) -> usize {
        let part = if self.all > 0.0 {
            self.long / self.all
        } else {
            0.0
        };
        if !settings.enabled || part < settings.min_share {
            return 0;
        }
        let others = (replicas as f64 * (1.0 - part)).ceil() as usize;
        replicas.saturating_sub(others).max(1).min(replicas)
    }
}

/// The first `count` replicas in the order in which they become lanes.
pub fn select_lanes<T: Copy>(count: usize, replicas: impl Iterator<Item = (T, u64)>) -> Vec<T> {
    if count == 0 {
        return Vec::new();
    }
    let mut ranked: Vec<(u64, T)> = replicas
        .map(|(replica, identity)| (rendezvous::weight(LANES, identity), replica))
        .collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, replica)| replica)
        .collect()
}

//! Size classes: long jobs hold only part of the slots.
//!
//! Load pattern: archive bundles of ten thousand tokens among captions of a few hundred. Without
//! classes a handful of bundles holds every slot for many seconds and all captions miss their target,
//! although they are most of the requests and little of the work.
//!
//! A long job may start while long jobs hold less than their part of the slots, so short jobs always
//! find slots that turn over quickly. Long jobs don't starve: fair queueing charges short jobs too,
//! and at least one slot is open to long ones.

use crate::configs::size::Config;
use crate::fair::Cost;

/// Short or long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// The usual.
    Short = 0,
    /// Many times the mean cost.
    Long = 1,
}

/// Knows the mean cost and tells long from short.
#[derive(Clone, Copy, Debug, Default)]
pub struct Classes {
    mean: Option<f64>,
}

impl Classes {
    /// The class of a job; notes its cost.
    pub fn classify(&mut self, settings: &Config, cost: Cost) -> Class {
        let cost = cost as f64;
        let mean = *self.mean.get_or_insert(cost);
        let long = settings.enabled && cost > mean * settings.long_factor;
        // A long job counts as the threshold, so that a few of them don't make the next ones short.
        let counted = cost.min(mean * settings.long_factor);
        self.mean = Some(mean + settings.smoothing * (counted - mean));
        if long { Class::Long } else { Class::Short }
    }
}

/// Most long jobs among so many slots.
pub fn cap(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share) as u32).max(1)
}

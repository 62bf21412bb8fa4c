//! Ramps up the load on new replicas.
//!
//! Guards against a replica that joins a loaded pool: as the least loaded it would attract every
//! request at once; its cache is empty, so each is a full prefill, and they queue behind each other
//! past their targets while warm replicas idle. The number of jobs that a new replica may run rises
//! linearly, and its load is scaled up in comparisons. Only differences matter: when every replica
//! is new, as after an outage, none is held back.
//!
//! A decision costs one lookup in the pool's ordered join times.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;

use crate::configs::warmup::Config;
use crate::replica;

/// Join times of the replicas of one pool.
#[derive(Debug)]
pub struct Warmup {
    config: Config,
    joined_at: BTreeMap<replica::Key, Time>,
    /// The same join times, oldest first.
    order: BTreeSet<(Time, replica::Key)>,
}

impl Warmup {
    /// Creates an empty pool.
    pub fn new(config: Config) -> Warmup {
        Warmup {
            config,
            joined_at: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Adds a replica that is cold.
    pub fn add(&mut self, now: Time, key: replica::Key) {
        self.remove(key);
        self.joined_at.insert(key, now);
        self.order.insert((now, key));
    }

    /// Removes a replica.
    pub fn remove(&mut self, key: replica::Key) {
        if let Some(joined) = self.joined_at.remove(&key) {
            self.order.remove(&(joined, key));
        }
    }

    /// Returns the share of its capacity that the replica may use, above 0 and at most 1, relative
    /// to the warmest of its pool.
    pub fn capacity_share(&self, now: Time, key: replica::Key) -> f64 {
        let oldest = self.order.first().map(|(joined, _)| *joined);
        let (Some(joined), Some(oldest)) = (self.joined_at.get(&key), oldest) else {
            return 1.0;
        };
        self.ramp_share(now, *joined) / self.ramp_share(now, oldest)
    }

    /// Returns how many of `slots` jobs the replica may run concurrently; at least one.
    pub fn max_jobs(&self, now: Time, key: replica::Key, slots: u32) -> u32 {
        let jobs = self.capacity_share(now, key) * f64::from(slots);
        (jobs.ceil() as u32).clamp(1, slots.max(1))
    }

    /// Returns the load for comparison with other replicas: that of a warm replica as busy as this
    /// one.
    pub fn scaled_load(&self, now: Time, key: replica::Key, load: f64) -> f64 {
        load / self.capacity_share(now, key)
    }

    fn ramp_share(&self, now: Time, joined: Time) -> f64 {
        let age = now.since(joined).as_millis() as f64;
        let duration = self.config.duration.as_millis().max(1) as f64;
        let initial = self.config.initial_share.clamp(f64::EPSILON, 1.0);
        (initial + (1.0 - initial) * age / duration).min(1.0)
    }
}

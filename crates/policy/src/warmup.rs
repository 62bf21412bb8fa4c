//! Gives a new replica work at a rising rate.
//!
//! *Pattern*: a replica joins a loaded pool. *Without it*: as the idlest of all it draws every
//! request at once; its cache is empty, so each is a full prefill, and they queue behind each other
//! past their targets while warm replicas idle. *How*: what it may run at once, and so the rate of
//! work, rises in a straight line; by comparison its load counts for more. Only differences matter:
//! when every replica is new, after an outage, none is held back for the others' sake.
//!
//! A decision costs one look-up in a pool's ordered joins.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;

use crate::configs::warmup::Config;
use crate::replica;

/// When the replicas of one pool joined.
#[derive(Debug)]
pub struct Warmup {
    config: Config,
    joined: BTreeMap<replica::Key, Time>,
    /// The same, oldest first.
    order: BTreeSet<(Time, replica::Key)>,
}

impl Warmup {
    /// An empty pool.
    pub fn new(config: Config) -> Warmup {
        Warmup {
            config,
            joined: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// A replica joined that is cold.
    pub fn add(&mut self, now: Time, key: replica::Key) {
        self.remove(key);
        self.joined.insert(key, now);
        self.order.insert((now, key));
    }

    /// A replica left.
    pub fn remove(&mut self, key: replica::Key) {
        if let Some(at) = self.joined.remove(&key) {
            self.order.remove(&(at, key));
        }
    }

    /// The part of its capacity that the replica may use, above 0 and at most 1, measured against
    /// the warmest of its pool.
    pub fn capacity_share(&self, now: Time, key: replica::Key) -> f64 {
        let oldest = self.order.first().map(|(at, _)| *at);
        let (Some(joined), Some(oldest)) = (self.joined.get(&key), oldest) else {
            return 1.0;
        };
        self.ramp(now, *joined) / self.ramp(now, oldest)
    }

    /// Jobs the replica may run at once out of `slots`; at least one.
    pub fn max_jobs(&self, now: Time, key: replica::Key, slots: u32) -> u32 {
        let jobs = self.capacity_share(now, key) * f64::from(slots);
        (jobs.ceil() as u32).clamp(1, slots.max(1))
    }

    /// The load to compare with other replicas': that of a full-sized replica as busy as this one.
    pub fn scaled_load(&self, now: Time, key: replica::Key, load: f64) -> f64 {
        load / self.capacity_share(now, key)
    }

    fn ramp(&self, now: Time, joined: Time) -> f64 {
        let age = now.since(joined).as_millis() as f64;
        let whole = self.config.duration.as_millis().max(1) as f64;
        let start = self.config.initial_share.clamp(f64::EPSILON, 1.0);
        (start + (1.0 - start) * age / whole).min(1.0)
    }
}

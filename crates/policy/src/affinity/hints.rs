//! Hints at replicas that may hold a prefix, beyond its two choices.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Time;

use crate::configs::affinity::Config;
use crate::replica;

/// Bounded map of prefixes to replicas. Cache events arrive late and with gaps, so a hint only breaks ties
/// among replicas that are eligible anyway.
#[derive(Debug)]
pub(super) struct Hints {
    config: Config,
    by_prefix: BTreeMap<u64, Hint>,
    /// Prefixes, oldest first; may include some without a hint.
    order: VecDeque<(Time, u64)>,
    replicas: BTreeMap<replica::Key, Events>,
}

/// The replica last known to hold a prefix.
#[derive(Clone, Copy, Debug)]
struct Hint {
    replica: replica::Key,
    stored_at: Time,
    /// Generation of the replica's events at that time; a gap since then invalidates the hint.
    generation: u32,
}

/// Position in the cache events of one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Events {
    last_sequence: u64,
    generation: u32,
}

impl Hints {
    /// Creates an empty map.
    pub fn new(config: Config) -> Hints {
        Hints {
            config,
            by_prefix: BTreeMap::new(),
            order: VecDeque::new(),
            replicas: BTreeMap::new(),
        }
    }

    /// Tracks the sequence number of an event; a gap before it may have hidden evictions.
    pub fn track(&mut self, replica: replica::Key, sequence: u64) {
        let events = self.replicas.entry(replica).or_default();
        let gap = events.last_sequence != 0 && sequence > events.last_sequence + 1;
        events.generation += u32::from(gap);
        events.last_sequence = events.last_sequence.max(sequence);
    }

    /// Records that the replica holds the prefix or is about to.
    pub fn stored(&mut self, now: Time, prefix: u64, replica: replica::Key) {
        let generation = self.generation(replica);
        let hint = Hint {
            replica,
            stored_at: now,
            generation,
        };
        self.by_prefix.insert(prefix, hint);
        self.order.push_back((now, prefix));
        while self.order.len() > self.config.max_hints {
            self.drop_oldest();
        }
    }

    /// Records that the replica no longer holds the prefix.
    pub fn evicted(&mut self, prefix: u64, replica: replica::Key) {
        let names_replica = |hint: &Hint| hint.replica == replica;
        if self.by_prefix.get(&prefix).is_some_and(names_replica) {
            self.by_prefix.remove(&prefix);
        }
    }

    /// Removes a replica that is gone and all hints at it.
    pub fn remove_replica(&mut self, replica: replica::Key) {
        self.replicas.remove(&replica);
        self.by_prefix.retain(|_, hint| hint.replica != replica);
    }

    /// Returns the replica that may hold the prefix, if the hint is still valid.
    pub fn get(&self, now: Time, prefix: u64) -> Option<replica::Key> {
        let hint = self.by_prefix.get(&prefix)?;
        let fresh = now.since(hint.stored_at) <= self.config.hint_ttl;
        let valid = hint.generation == self.generation(hint.replica);
        (fresh && valid).then_some(hint.replica)
    }

    /// Returns the number of hints.
    pub fn len(&self) -> usize {
        self.by_prefix.len()
    }

    fn generation(&self, replica: replica::Key) -> u32 {
        self.replicas
            .get(&replica)
            .map_or(0, |events| events.generation)
    }

    fn drop_oldest(&mut self) {
        let Some((stored_at, prefix)) = self.order.pop_front() else {
            return;
        };
        // A prefix that was stored again has another entry in the order.
        if self
            .by_prefix
            .get(&prefix)
            .is_some_and(|hint| hint.stored_at <= stored_at)
        {
            self.by_prefix.remove(&prefix);
        }
    }
}

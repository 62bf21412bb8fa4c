//! Where a prefix may be cached beyond its two choices.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Time;

use crate::configs::affinity::Config;
use crate::replica;

/// Bounded memory of prefixes and replicas. Late and gapped cache events make it doubtful, so it
/// only breaks ties among replicas that would do anyway.
#[derive(Debug)]
pub(super) struct Hints {
    config: Config,
    by_prefix: BTreeMap<u64, Hint>,
    /// Prefixes, oldest first; may name one that is gone.
    order: VecDeque<(Time, u64)>,
    replicas: BTreeMap<replica::Key, Events>,
}

/// The replica last known to hold a prefix.
#[derive(Clone, Copy, Debug)]
struct Hint {
    replica: replica::Key,
    at: Time,
    /// The replica's generation then; a gap in its events since makes the hint void.
    generation: u32,
}

/// How far the events of one replica have been read.
#[derive(Clone, Copy, Debug, Default)]
struct Events {
    last: u64,
    generation: u32,
}

impl Hints {
    /// Knows nothing yet.
    pub fn new(config: Config) -> Hints {
        Hints {
            config,
            by_prefix: BTreeMap::new(),
            order: VecDeque::new(),
            replicas: BTreeMap::new(),
        }
    }

    /// An event of the replica; a gap before it may have hidden evictions.
    pub fn heard(&mut self, replica: replica::Key, sequence: u64) {
        let events = self.replicas.entry(replica).or_default();
        let gap = events.last != 0 && sequence > events.last + 1;
        events.generation += u32::from(gap);
        events.last = events.last.max(sequence);
    }

    /// The replica holds the prefix, or is about to.
    pub fn stored(&mut self, now: Time, prefix: u64, replica: replica::Key) {
        let generation = self.generation(replica);
        let hint = Hint {
            replica,
            at: now,
            generation,
        };
        self.by_prefix.insert(prefix, hint);
        self.order.push_back((now, prefix));
        while self.order.len() > self.config.hints {
            self.drop_oldest();
        }
    }

    /// The replica no longer holds the prefix.
    pub fn evicted(&mut self, prefix: u64, replica: replica::Key) {
        let is_it = |hint: &Hint| hint.replica == replica;
        if self.by_prefix.get(&prefix).is_some_and(is_it) {
            self.by_prefix.remove(&prefix);
        }
    }

    /// The replica is gone, and with it what it held.
    pub fn left(&mut self, replica: replica::Key) {
        self.replicas.remove(&replica);
        self.by_prefix.retain(|_, hint| hint.replica != replica);
    }

    /// The replica that may hold the prefix, if nothing speaks against it.
    pub fn get(&self, now: Time, prefix: u64) -> Option<replica::Key> {
        let hint = self.by_prefix.get(&prefix)?;
        let fresh = now.since(hint.at) <= self.config.fresh;
        let valid = hint.generation == self.generation(hint.replica);
        (fresh && valid).then_some(hint.replica)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.by_prefix.len()
    }

    fn generation(&self, replica: replica::Key) -> u32 {
        self.replicas
            .get(&replica)
            .map_or(0, |events| events.generation)
    }

    fn drop_oldest(&mut self) {
        let Some((at, prefix)) = self.order.pop_front() else {
            return;
        };
        // A prefix noted again since stands in the order a second time.
        if self
            .by_prefix
            .get(&prefix)
            .is_some_and(|hint| hint.at <= at)
        {
            self.by_prefix.remove(&prefix);
        }
    }
}

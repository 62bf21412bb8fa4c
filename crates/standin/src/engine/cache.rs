//! The prefix cache and its events, which are published with a delay and with gaps.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// A block that was stored or evicted.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Sequence number, one higher for each event; gaps are events that were never published.
    pub seq: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
    /// Hash of the prompt up to the end of the block.
    pub prefix: String,
}

/// KV cache blocks with least-recently-used eviction.
pub struct Cache {
    limit: usize,
    event_delay: Duration,
    event_gap: u64,
    uses: u64,
    /// Value of `uses` at the last use of each block.
    last_uses: HashMap<u64, u64>,
    /// The blocks of `last_uses` ordered by their last use.
    by_last_use: BTreeMap<u64, u64>,
    events: Vec<(Instant, Event)>,
}

impl Cache {
    /// Creates an empty cache with a capacity of `limit` blocks.
    pub fn new(limit: usize, event_delay: Duration, event_gap: u64) -> Cache {
        Cache {
            limit,
            event_delay,
            event_gap,
            uses: 0,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Returns how many leading blocks are cached, and stores all of them.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
        let is_cached = |block: &&u64| self.last_uses.contains_key(*block);
        let hits = blocks.iter().take_while(is_cached).count();
        for block in blocks {
            self.store(*block);
        }
        hits
    }

    /// Returns the published events after `seq`.
    pub fn events(&self, after: u64) -> Vec<Event> {
        let published = self.events.iter().filter(|(recorded_at, event)| {
            let unpublished = self.event_gap > 0 && event.seq % self.event_gap == 0;
            event.seq > after && recorded_at.elapsed() >= self.event_delay && !unpublished
        });
        published.map(|(_, event)| event.clone()).collect()
    }

    fn store(&mut self, block: u64) {
        self.uses += 1;
        if let Some(previous_use) = self.last_uses.insert(block, self.uses) {
            self.by_last_use.remove(&previous_use);
        } else {
            self.record_event(block, true);
        }
        self.by_last_use.insert(self.uses, block);
        if self.last_uses.len() > self.limit {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, block)) = self.by_last_use.pop_first() {
            self.last_uses.remove(&block);
            self.record_event(block, false);
        }
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        let event = Event {
            seq: self.events.len() as u64 + 1,
            stored,
            prefix: format!("{block:016x}"),
        };
        self.events.push((Instant::now(), event));
    }
}

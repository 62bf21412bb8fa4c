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
    delay: Duration,
    gap: u64,
    used: u64,
    /// Time of the last use of each block, in uses of the cache.
    blocks: HashMap<u64, u64>,
    /// Blocks ordered by last use; the same blocks as above.
    order: BTreeMap<u64, u64>,
    events: Vec<(Instant, Event)>,
}

impl Cache {
    /// Creates an empty cache with a capacity of `limit` blocks.
    pub fn new(limit: usize, delay: Duration, gap: u64) -> Cache {
        Cache {
            limit,
            delay,
            gap,
            used: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Returns how many leading blocks are cached, and stores all of them.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
        let known = |block: &&u64| self.blocks.contains_key(*block);
        let hits = blocks.iter().take_while(known).count();
        for block in blocks {
            self.store(*block);
        }
        hits
    }

    /// Returns the published events after `seq`.
    pub fn events(&self, after: u64) -> Vec<Event> {
        let published = self.events.iter().filter(|(at, event)| {
            let missing = self.gap > 0 && event.seq % self.gap == 0;
            event.seq > after && at.elapsed() >= self.delay && !missing
        });
        published.map(|(_, event)| event.clone()).collect()
    }

    fn store(&mut self, block: u64) {
        self.used += 1;
        if let Some(before) = self.blocks.insert(block, self.used) {
            self.order.remove(&before);
        } else {
            self.announce(block, true);
        }
        self.order.insert(self.used, block);
        if self.blocks.len() > self.limit {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, block)) = self.order.pop_first() {
            self.blocks.remove(&block);
            self.announce(block, false);
        }
    }

    fn announce(&mut self, block: u64, stored: bool) {
        let event = Event {
            seq: self.events.len() as u64 + 1,
            stored,
            prefix: format!("{block:016x}"),
        };
        self.events.push((Instant::now(), event));
    }
}

//! Stores gossip items for their lifetime, the highest version of each.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::digest::Item;
use crate::digest::Topic;

/// Most items stored; then the oldest is evicted. A wave that takes half of 12,000 backend servers
/// creates 6,000.
const MAX_ITEMS: usize = 8_192;

/// All stored items.
#[derive(Clone, Debug, Default)]
pub struct Items {
    entries: BTreeMap<(Topic, SmolStr), Entry>,
}

/// A stored item.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    payload: Vec<u8>,
    /// When it was received, at `age`.
    received: Time,
    age: Span,
}

impl Items {
    /// Inserts an item; returns whether it is new here.
    pub fn insert(&mut self, now: Time, item: &Item) -> bool {
        let age = Span::from_millis(item.age_ms);
        if age >= item.topic.lifetime() {
            return false;
        }
        let key = (item.topic, item.key.clone());
        if self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.version >= item.version)
        {
            return false;
        }
        let entry = Entry {
            version: item.version,
            payload: item.payload.clone(),
            received: now,
            age,
        };
        self.entries.insert(key, entry);
        self.evict_oldest();
        true
    }

    /// Returns the item on a subject, with its current age.
    pub fn get(&self, now: Time, topic: Topic, key: &SmolStr) -> Option<Item> {
        let entry = self.entries.get(&(topic, key.clone()))?;
        Some(Item {
            topic,
            key: key.clone(),
            version: entry.version,
            age_ms: (entry.age + now.since(entry.received)).as_millis(),
            payload: entry.payload.clone(),
        })
    }

    /// Returns whether there is an item on a subject.
    pub fn contains(&self, topic: Topic, key: &str) -> bool {
        self.entries.contains_key(&(topic, SmolStr::from(key)))
    }

    /// Removes items that exceed their topic's lifetime, and returns their subjects.
    pub fn expire(&mut self, now: Time) -> Vec<(Topic, SmolStr)> {
        let expired: Vec<(Topic, SmolStr)> = self
            .entries
            .iter()
            .filter(|((topic, _), entry)| entry.age + now.since(entry.received) >= topic.lifetime())
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.entries.remove(key);
        }
        expired
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_oldest(&mut self) {
        if self.entries.len() <= MAX_ITEMS {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.received);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }
}

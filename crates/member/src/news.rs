//! Pieces of news that are kept for their lifetime, the highest version of each.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::digest::Item;
use crate::digest::Topic;

/// Most pieces kept; beyond it the oldest goes. A wave that takes half of 12,000 backend servers
/// makes 6,000.
const LIMIT: usize = 8_192;

/// All pieces held.
#[derive(Clone, Debug, Default)]
pub struct News {
    held: BTreeMap<(Topic, SmolStr), Held>,
}

/// One piece.
#[derive(Clone, Debug)]
struct Held {
    version: u64,
    payload: Vec<u8>,
    /// When it would have been made by our clock; its age counts from here.
    received: Time,
    age: Span,
}

impl News {
    /// Takes a piece; true if it is new here.
    pub fn take(&mut self, now: Time, item: &Item) -> bool {
        let age = Span::from_millis(item.age_ms);
        if age >= item.topic.lifetime() {
            return false;
        }
        let key = (item.topic, item.key.clone());
        if self
            .held
            .get(&key)
            .is_some_and(|held| held.version >= item.version)
        {
            return false;
        }
        let held = Held {
            version: item.version,
            payload: item.payload.clone(),
            received: now,
            age,
        };
        self.held.insert(key, held);
        self.bound();
        true
    }

    /// The piece on a subject, with its age now.
    pub fn get(&self, now: Time, topic: Topic, key: &SmolStr) -> Option<Item> {
        let held = self.held.get(&(topic, key.clone()))?;
        Some(Item {
            topic,
            key: key.clone(),
            version: held.version,
            age_ms: (held.age + now.since(held.received)).as_millis(),
            payload: held.payload.clone(),
        })
    }

    /// Whether there is news of this topic on this subject.
    pub fn contains(&self, topic: Topic, key: &str) -> bool {
        self.held.contains_key(&(topic, SmolStr::from(key)))
    }

    /// Forgets what has outlived its topic; names what was forgotten.
    pub fn expire(&mut self, now: Time) -> Vec<(Topic, SmolStr)> {
        let expired: Vec<(Topic, SmolStr)> = self
            .held
            .iter()
            .filter(|((topic, _), held)| held.age + now.since(held.received) >= topic.lifetime())
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.held.remove(key);
        }
        expired
    }

    /// How many pieces are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn bound(&mut self) {
        if self.held.len() <= LIMIT {
            return;
        }
        let oldest = self.held.iter().min_by_key(|(_, held)| held.received);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.held.remove(&key);
        }
    }
}

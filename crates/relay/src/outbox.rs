//! Counts on their way to other entries.
//!
//! Load pattern: an entry adds up the counts of all others and sends everyone the sum twice a second. With many
//! entries or after many changes that is more than a narrow link carries.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use member::digest::Digest;
use smol_str::SmolStr;

use crate::configs::outbox::Config;

/// Digests that wait and those that are under way, by the peer's address.
#[derive(Debug)]
pub struct Outbox {
    _config: Config,
    waiting: VecDeque<(SmolStr, Digest)>,
    /// When each digest that has no answer yet was sent, and its size.
    under_way: BTreeMap<SmolStr, VecDeque<(Time, usize)>>,
}

/// How an outbox stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sight {
    /// Digests that wait.
    pub waiting: usize,
    /// Bytes without an answer.
    pub bytes: usize,
    /// How long the oldest of these has been under way.
    pub oldest: Span,
}

impl Outbox {
    /// An empty one.
    pub fn new(config: Config) -> Outbox {
        Outbox {
            _config: config,
            waiting: VecDeque::new(),
            under_way: BTreeMap::new(),
        }
    }

    /// Takes a digest in.
    pub fn offer(&mut self, _now: Time, address: SmolStr, digest: Digest) {
        self.waiting.push_back((address, digest));
    }

    /// The next digest to send.
    pub fn next(&mut self, now: Time) -> Option<(SmolStr, Digest)> {
        let (address, digest) = self.waiting.pop_front()?;
        let under_way = self.under_way.entry(address.clone()).or_default();
        under_way.push_back((now, digest.size()));
        Some((address, digest))
    }

    /// A peer answered, or its call failed.
    pub fn answered(&mut self, _now: Time, address: &SmolStr) {
        let Some(under_way) = self.under_way.get_mut(address) else {
            return;
        };
        under_way.pop_front();
        if under_way.is_empty() {
            self.under_way.remove(address);
        }
    }

    /// How the outbox stands.
    pub fn sight(&self, now: Time) -> Sight {
        let under_way = || self.under_way.values().flatten();
        let oldest = under_way().map(|(at, _)| now.since(*at)).max();
        Sight {
            waiting: self.waiting.len(),
            bytes: under_way().map(|(_, bytes)| bytes).sum(),
            oldest: oldest.unwrap_or_default(),
        }
    }
}

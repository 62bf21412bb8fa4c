//! Counts on their way to other entries.
//!
//! Load pattern: an entry adds up the counts of all others and sends everyone the sum twice a second. With many
//! entries or after many changes that is more than a narrow link carries. Sent as they come, counts queue on the
//! link for seconds, and requests, answers and news of servers that leave stand behind them.
//!
//! So only as much is under way as the link carries in a moment, and of two sums for one peer the newer is sent.
//! Peers that don't answer in time get a small part of that room, so that they keep it from nobody.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use member::digest::Digest;
use member::digest::Topic;
use smol_str::SmolStr;

use crate::configs::outbox::Config;

/// Counts that wait and those that are under way, by the peer's address.
#[derive(Debug)]
pub struct Outbox {
    config: Config,
    /// The newest counts for each peer that waits, and since when it does.
    waiting: BTreeMap<SmolStr, (Time, Digest)>,
    /// Peers in the order of their turns. Invariant: each waits, and nothing is under way to it.
    ready: VecDeque<SmolStr>,
    /// The same for those that are slow.
    slow_ready: VecDeque<SmolStr>,
    in_flight: BTreeMap<SmolStr, InFlight>,
    /// What was sent and isn't overdue, the oldest first.
    sent: BTreeSet<(Time, SmolStr)>,
    /// Bytes of these, and those of slow peers among them.
    bytes: usize,
    slow_bytes: usize,
    /// Peers that didn't answer in time, and until when that is remembered.
    slow: BTreeMap<SmolStr, Time>,
}

/// A digest without an answer.
#[derive(Debug)]
struct InFlight {
    since: Time,
    bytes: usize,
    /// Whether it takes the room of slow peers.
    slow: bool,
    overdue: bool,
}

/// How an outbox stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Peers whose counts wait.
    pub waiting: usize,
    /// Bytes under way.
    pub bytes: usize,
    /// How long a peer's counts have waited at most.
    pub max_wait: Span,
}

impl Outbox {
    /// An empty one.
    pub fn new(config: Config) -> Outbox {
        Outbox {
            config,
            waiting: BTreeMap::new(),
            ready: VecDeque::new(),
            slow_ready: VecDeque::new(),
            in_flight: BTreeMap::new(),
            sent: BTreeSet::new(),
            bytes: 0,
            slow_bytes: 0,
            slow: BTreeMap::new(),
        }
    }

    /// Takes counts in. Where they take the place of older ones that still wait, gives what else is in the digest, to be
    /// sent at once: without heartbeats the peer would suspect this entry.
    pub fn enqueue(&mut self, now: Time, address: SmolStr, digest: Digest) -> Option<Digest> {
        if let Some((_, superseded)) = self.waiting.get_mut(&address) {
            let head = without_counts(&digest);
            *superseded = digest;
            return Some(head);
        }
        self.waiting.insert(address.clone(), (now, digest));
        if !self.in_flight.contains_key(&address) {
            self.queue(address);
        }
        None
    }

    /// The next counts to send, if there is room for them.
    pub fn next(&mut self, now: Time) -> Option<(SmolStr, Digest)> {
        self.mark_overdue(now);
        if self.bytes >= self.config.window() {
            return None;
        }
        let slow = self.ready.is_empty();
        let address = match slow {
            false => self.ready.pop_front()?,
            true if self.slow_bytes < self.config.slow_window() => self.slow_ready.pop_front()?,
            true => return None,
        };
        let (_, digest) = self.waiting.remove(&address)?;
        let bytes = digest.size();
        self.bytes += bytes;
        self.slow_bytes += if slow { bytes } else { 0 };
        self.sent.insert((now, address.clone()));
        let sent = InFlight {
            since: now,
            bytes,
            slow,
            overdue: false,
        };
        self.in_flight.insert(address.clone(), sent);
        Some((address, digest))
    }

    /// A peer answered, or its call failed.
    pub fn answered(&mut self, now: Time, address: &SmolStr) {
        self.mark_overdue(now);
        let Some(sent) = self.in_flight.remove(address) else {
            return;
        };
        if !sent.overdue {
            self.sent.remove(&(sent.since, address.clone()));
            self.release(&sent);
            self.slow.remove(address);
        }
        if self.waiting.contains_key(address) {
            self.queue(address.clone());
        }
    }

    /// When [`Outbox::next`] may find room without an answer, if something waits.
    pub fn next_wake(&self) -> Option<Time> {
        if self.ready.is_empty() && self.slow_ready.is_empty() {
            return None;
        }
        let (since, _) = self.sent.first()?;
        Some(*since + self.config.ack_timeout)
    }

    /// How the outbox stands.
    pub fn stats(&self, now: Time) -> Stats {
        let since = self.waiting.values().map(|(since, _)| *since).min();
        Stats {
            waiting: self.waiting.len(),
            bytes: self.bytes,
            max_wait: since.map_or(Span::ZERO, |since| now.since(since)),
        }
    }

    fn queue(&mut self, address: SmolStr) {
        match self.slow.contains_key(&address) {
            true => self.slow_ready.push_back(address),
            false => self.ready.push_back(address),
        }
    }

    /// Gives up the room of what has waited too long for its answer.
    fn mark_overdue(&mut self, now: Time) {
        self.slow.retain(|_, until| *until > now);
        while let Some((since, address)) = self.sent.first().cloned() {
            if now.since(since) < self.config.ack_timeout {
                return;
            }
            self.sent.pop_first();
            let Some(mut sent) = self.in_flight.remove(&address) else {
                continue;
            };
            self.release(&sent);
            sent.overdue = true;
            self.in_flight.insert(address.clone(), sent);
            self.slow.insert(address, now + self.config.slow_ttl);
        }
    }

    fn release(&mut self, sent: &InFlight) {
        self.bytes -= sent.bytes;
        self.slow_bytes -= if sent.slow { sent.bytes } else { 0 };
    }
}

/// A digest without its counts.
fn without_counts(digest: &Digest) -> Digest {
    let items = digest.items.iter();
    Digest {
        own: digest.own,
        items: items
            .filter(|item| item.topic != Topic::Count)
            .cloned()
            .collect(),
        ..Digest::default()
    }
}

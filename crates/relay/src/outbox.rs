//! Paces the counts that are sent to other entries.
//!
//! An aggregating entry adds up the counts of all others and sends each of them the sum twice a second. With
//! many entries or many changes a narrow link can't carry that: counts queue on the link for seconds, and
//! requests, answers and messages about leaving servers wait behind them.
//!
//! So the bytes in flight are limited to what the link drains in a short time, and a newer sum for a peer
//! supersedes one that still waits. Peers that are slow to answer share a small part of that window, so that
//! they don't starve the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use member::digest::Digest;
use member::digest::Topic;
use smol_str::SmolStr;

use crate::configs::outbox::Config;

/// Counts that wait and those in flight, by the peer's address.
#[derive(Debug)]
pub struct Outbox {
    config: Config,
    /// The newest counts for each waiting peer, with the time since which it waits.
    waiting: BTreeMap<SmolStr, (Time, Digest)>,
    /// Peers in the order of sending. Invariant: each is in `waiting` and has nothing in flight.
    ready: VecDeque<SmolStr>,
    /// Slow peers in the order of sending.
    slow_ready: VecDeque<SmolStr>,
    in_flight: BTreeMap<SmolStr, InFlight>,
    /// Digests in flight that are not overdue, oldest first.
    sent: BTreeSet<(Time, SmolStr)>,
    /// Bytes of the digests in `sent`.
    bytes: usize,
    slow_bytes: usize,
    /// Peers that didn't answer in time, with the time until which they count as slow.
    slow: BTreeMap<SmolStr, Time>,
}

/// A digest that was not answered yet.
#[derive(Debug)]
struct InFlight {
    since: Time,
    bytes: usize,
    /// Whether it counts against the window of slow peers.
    slow: bool,
    overdue: bool,
}

/// A snapshot of an outbox.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of peers whose counts wait.
    pub waiting: usize,
    /// Bytes in flight.
    pub bytes: usize,
    /// Longest time that a peer's counts have been waiting.
    pub max_wait: Span,
}

impl Outbox {
    /// Creates an empty outbox.
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

    /// Queues counts for a peer. If they supersede older ones, returns the rest of the digest to be sent
    /// immediately, since the peer would suspect this entry without heartbeats.
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

    /// Returns the next counts to send, if the window has room.
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

    /// Records that a peer answered or that the call to it failed.
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

    /// Returns when [`Outbox::next`] may find room without an answer, if something waits.
    pub fn next_wake(&self) -> Option<Time> {
        if self.ready.is_empty() && self.slow_ready.is_empty() {
            return None;
        }
        let (since, _) = self.sent.first()?;
        Some(*since + self.config.ack_timeout)
    }

    /// Returns a snapshot of the outbox.
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

    /// Releases the window of digests whose answer is overdue.
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

/// Returns a digest without its counts.
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

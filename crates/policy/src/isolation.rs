//! Detects that this entry is cut off from all replicas while callers and other entries still reach it.
//!
//! Load pattern: a partition of the network separates some entries, at times most of a zone, from every
//! replica for seconds. Without detection each request tries one replica after another until none is left and
//! is refused, although any other entry could serve it, and each broken connection looks like a crash of its
//! replica.
//!
//! One unreachable replica may have crashed, so only several distinct ones in a row are evidence, with no
//! connection in between. Kept connections may live on or fall silent during a partition, so only attempts to
//! open a connection count. [`Detector`] therefore requests trial connections: when one fails or all replicas are silent,
//! to decide quickly, and while isolated, to detect that the partition has healed.

use std::collections::BTreeMap;

use clock::Time;

use crate::configs::isolation::Config;

/// Tracks whether replicas can be reached from this entry.
#[derive(Debug)]
pub struct Detector {
    config: Config,
    /// Replicas that were unreachable since the last connection, by identity, with the time of the failure.
    unreachable: BTreeMap<u64, Time>,
    isolated_since: Option<Time>,
    /// When any replica last showed a sign of life.
    last_sign: Time,
    /// Time before which no further single trial connection starts.
    next_probe: Time,
    /// Time before which no further round of trial connections starts.
    next_round: Time,
}

/// A change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry is cut off from all replicas.
    Isolated,
    /// The entry reaches replicas again.
    Reconnected {
        /// Since when it was cut off.
        since: Time,
    },
}

impl Detector {
    /// Creates a detector that takes replicas for reachable.
    pub fn new(config: Config) -> Detector {
        Detector {
            config,
            unreachable: BTreeMap::new(),
            isolated_since: None,
            last_sign: Time::ZERO,
            next_probe: Time::ZERO,
            next_round: Time::ZERO,
        }
    }

    /// Returns whether the entry is cut off from all replicas.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns the number of distinct replicas that were unreachable since the last connection.
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }

    /// Records bytes from a replica, on any connection of its own.
    pub fn record_sign(&mut self, now: Time) {
        self.last_sign = self.last_sign.max(now);
    }

    /// Records that a connection to a replica was opened.
    pub fn record_connected(&mut self, now: Time) -> Option<Change> {
        self.record_sign(now);
        self.unreachable.clear();
        let since = self.isolated_since.take()?;
        Some(Change::Reconnected { since })
    }

    /// Records that no connection to a replica could be opened; `known` replicas are on the list.
    pub fn record_unreachable(&mut self, now: Time, replica: u64, known: usize) -> Option<Change> {
        let config = self.config;
        self.unreachable
            .retain(|_, failed_at| now.since(*failed_at) <= config.evidence_age);
        self.unreachable.insert(replica, now);
        let needed = config.min_replicas.min(known).max(1);
        if self.isolated_since.is_some() || self.unreachable.len() < needed {
            return None;
        }
        self.isolated_since = Some(now);
        Some(Change::Isolated)
    }

    /// Returns whether no replica has shown a sign of life for too long, given that one owes an answer.
    pub fn is_silent(&self, now: Time) -> bool {
        now.since(self.last_sign) >= self.config.max_silence
    }

    /// Returns how many trial connections to start now, each to another replica: as many as the decision needs
    /// once one was unreachable, otherwise a single one.
    pub fn take_probes(&mut self, now: Time) -> usize {
        let suspected = self.isolated_since.is_none() && !self.unreachable.is_empty();
        let due = match suspected {
            true => &mut self.next_round,
            false => &mut self.next_probe,
        };
        if now < *due {
            return 0;
        }
        *due = now + self.config.probe_interval;
        match suspected {
            true => self.config.min_replicas,
            false => 1,
        }
    }
}

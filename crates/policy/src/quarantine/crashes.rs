//! Recent crashes, to distinguish the loss of a zone from the work of a killer request.

use std::collections::VecDeque;

use clock::Span;
use clock::Time;

use super::digest::Crash;

/// Maximum number of forgiven replicas that are remembered: several zones' worth for one entry.
const MAX_FORGIVEN: usize = 256;

/// Crashes within a short window.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Oldest first, distinct by replica.
    recent: VecDeque<(Time, Crash)>,
    /// Replicas lost with their zone; late reports of them must not blame any request.
    forgiven: VecDeque<u64>,
}

impl Crashes {
    /// Records a crash; the window and the bound `limit` keep the list short.
    pub fn record(&mut self, now: Time, replica: u64, zone: u64, window: Span, limit: usize) {
        self.drop_old(now, window);
        if self
            .recent
            .iter()
            .any(|(_, crash)| crash.replica == replica)
        {
            return;
        }
        let crash = Crash {
            replica,
            zone,
            age: Span::ZERO,
        };
        self.recent.push_back((now, crash));
        if self.recent.len() > limit {
            self.recent.pop_front();
        }
    }

    /// Drops crashes older than the window.
    pub fn drop_old(&mut self, now: Time, window: Span) {
        self.recent.retain(|(at, _)| now.since(*at) <= window);
    }

    /// Forgives and returns the crashes of a zone if at least `threshold` of its replicas were lost
    /// together.
    pub fn forgive_zone(&mut self, zone: u64, threshold: usize) -> Option<Vec<u64>> {
        let lost: Vec<u64> = self
            .recent
            .iter()
            .filter(|(_, crash)| crash.zone == zone)
            .map(|(_, crash)| crash.replica)
            .collect();
        (lost.len() >= threshold).then(|| self.remember_forgiven(lost))
    }

    /// Forgives and returns all crashes if at least `threshold` replicas of any zones were lost
    /// together.
    pub fn forgive_all(&mut self, threshold: usize) -> Option<Vec<u64>> {
        let lost: Vec<u64> = self.recent.iter().map(|(_, crash)| crash.replica).collect();
        (lost.len() >= threshold).then(|| self.remember_forgiven(lost))
    }

    fn remember_forgiven(&mut self, lost: Vec<u64>) -> Vec<u64> {
        for replica in &lost {
            if !self.forgiven.contains(replica) {
                self.forgiven.push_back(*replica);
            }
        }
        while self.forgiven.len() > MAX_FORGIVEN {
            self.forgiven.pop_front();
        }
        lost
    }

    /// Returns whether the crash of that replica may be held against a request.
    pub fn is_blamable(&self, replica: u64) -> bool {
        !self.forgiven.contains(&replica)
    }

    /// Returns the recent crashes, to send to peers.
    pub fn recent(&self, now: Time) -> Vec<Crash> {
        self.recent
            .iter()
            .map(|(at, crash)| Crash {
                age: now.since(*at),
                ..*crash
            })
            .collect()
    }
}

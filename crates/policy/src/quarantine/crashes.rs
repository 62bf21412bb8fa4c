//! Crashes seen lately, to tell the loss of a zone from the work of a killer.

use std::collections::VecDeque;

use clock::Span;
use clock::Time;

use super::digest::Crash;

/// Most replicas whose crashes are remembered as blameless: some zones' worth for one entry.
const FORGIVEN: usize = 256;

/// Crashes of the last moments.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Oldest first, distinct by replica.
    recent: VecDeque<(Time, Crash)>,
    /// Replicas lost with their zone; late news must not blame anyone for them.
    forgiven: VecDeque<u64>,
}

impl Crashes {
    /// Notes a crash; the window and the bound keep the list short.
    pub fn note(&mut self, now: Time, replica: u64, zone: u64, window: Span, most: usize) {
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
        if self.recent.len() > most {
            self.recent.pop_front();
        }
    }

    /// Drops what is older than the window.
    pub fn drop_old(&mut self, now: Time, window: Span) {
        self.recent.retain(|(at, _)| now.since(*at) <= window);
    }

    /// If at least `least` replicas of the zone were lost together, forgives their crashes and
    /// names them.
    pub fn forgive(&mut self, zone: u64, least: usize) -> Option<Vec<u64>> {
        let lost: Vec<u64> = self
            .recent
            .iter()
            .filter(|(_, crash)| crash.zone == zone)
            .map(|(_, crash)| crash.replica)
            .collect();
        (lost.len() >= least).then(|| self.forgive_these(lost))
    }

    /// If at least `least` replicas of any zones were lost together, forgives their crashes and names them.
    pub fn forgive_all(&mut self, least: usize) -> Option<Vec<u64>> {
        let lost: Vec<u64> = self.recent.iter().map(|(_, crash)| crash.replica).collect();
        (lost.len() >= least).then(|| self.forgive_these(lost))
    }

    fn forgive_these(&mut self, lost: Vec<u64>) -> Vec<u64> {
        for replica in &lost {
            if !self.forgiven.contains(replica) {
                self.forgiven.push_back(*replica);
            }
        }
        while self.forgiven.len() > FORGIVEN {
            self.forgiven.pop_front();
        }
        lost
    }

    /// Whether the crash of that replica may be held against a request.
    pub fn blames(&self, replica: u64) -> bool {
        !self.forgiven.contains(&replica)
    }

    /// What to tell peers.
    pub fn told(&self, now: Time) -> Vec<Crash> {
        self.recent
            .iter()
            .map(|(at, crash)| Crash {
                age: now.since(*at),
                ..*crash
            })
            .collect()
    }
}

//! Which replicas are kept free for suspects that run alone.

use std::collections::BTreeMap;

use clock::Time;

use super::digest::Claim;

/// Claims on replicas, ours and those peers told of; at most one a replica.
#[derive(Debug, Default)]
pub(super) struct Claims {
    held: BTreeMap<u64, Held>,
}

/// A claim on one replica.
#[derive(Clone, Copy, Debug)]
struct Held {
    fingerprint: u64,
    /// Absent for our own, which ends with the attempt.
    lapses: Option<Time>,
    /// Whether a suspect of ours runs there, and the claim is no longer open to dispute.
    running: bool,
}

impl Claims {
    /// Notes our own, open to dispute.
    pub fn reserve(&mut self, fingerprint: u64, replica: u64) {
        let held = Held {
            fingerprint,
            lapses: None,
            running: false,
        };
        self.held.insert(replica, held);
    }

    /// Whether the replica is ours for that fingerprint.
    pub fn holds(&self, fingerprint: u64, replica: u64) -> bool {
        self.held
            .get(&replica)
            .is_some_and(|held| held.lapses.is_none() && held.fingerprint == fingerprint)
    }

    /// The suspect starts: our claim is final.
    pub fn start(&mut self, replica: u64) {
        if let Some(held) = self.held.get_mut(&replica) {
            held.running = held.lapses.is_none();
        }
    }

    /// Notes a peer's. Of two claims in dispute one stands, at both entries: the one for the lower
    /// fingerprint if they are for one replica, the one for the lower replica if they are for one
    /// fingerprint.
    pub fn heard(&mut self, claim: &Claim, lapses: Time) {
        let stands = |held: &Held| {
            let disputed = !held.running && claim.fingerprint < held.fingerprint;
            held.lapses.is_none() && !disputed
        };
        if self.held.get(&claim.replica).is_some_and(stands) {
            return;
        }
        self.held.retain(|replica, held| {
            let same = held.fingerprint == claim.fingerprint && held.lapses.is_none();
            !same || held.running || *replica <= claim.replica
        });
        let held = Held {
            fingerprint: claim.fingerprint,
            lapses: Some(lapses),
            running: false,
        };
        self.held.insert(claim.replica, held);
    }

    /// Our attempt of the fingerprint ended.
    pub fn end_own(&mut self, fingerprint: u64) {
        self.held
            .retain(|_, held| held.fingerprint != fingerprint || held.lapses.is_some());
    }

    /// The fingerprint needn't run alone any more.
    pub fn release(&mut self, fingerprint: u64) {
        self.held.retain(|_, held| held.fingerprint != fingerprint);
    }

    /// The replica is gone.
    pub fn drop_replica(&mut self, replica: u64) {
        self.held.remove(&replica);
    }

    /// Drops what has lapsed.
    pub fn tick(&mut self, now: Time) {
        self.held.retain(|_, held| held.is_live(now));
    }

    /// Whether the replica is claimed.
    pub fn covers(&self, now: Time, replica: u64) -> bool {
        self.held
            .get(&replica)
            .is_some_and(|held| held.is_live(now))
    }

    /// How many replicas are claimed.
    pub fn count(&self, now: Time) -> usize {
        self.held.values().filter(|held| held.is_live(now)).count()
    }

    /// Until when the fingerprint is claimed by a peer; for ever if it runs here.
    pub fn until(&self, now: Time, fingerprint: u64) -> Option<Time> {
        let held = self
            .held
            .values()
            .filter(|held| held.running || held.lapses.is_some())
            .find(|held| held.fingerprint == fingerprint && held.is_live(now))?;
        Some(held.lapses.unwrap_or(Time::from_millis(u64::MAX)))
    }

    /// Our own, to tell peers.
    pub fn own(&self) -> Vec<Claim> {
        self.held
            .iter()
            .filter(|(_, held)| held.lapses.is_none())
            .map(|(replica, held)| Claim {
                fingerprint: held.fingerprint,
                replica: *replica,
            })
            .collect()
    }
}

impl Held {
    fn is_live(&self, now: Time) -> bool {
        self.lapses.is_none_or(|lapses| now < lapses)
    }
}

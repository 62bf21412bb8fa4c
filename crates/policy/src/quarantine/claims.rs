//! Replicas claimed for suspects that run alone.

use std::collections::BTreeMap;

use clock::Time;

use super::digest::Claim;

/// Claims by this entry and its peers; at most one per replica.
#[derive(Debug, Default)]
pub(super) struct Claims {
    by_replica: BTreeMap<u64, Reservation>,
}

/// A claim on one replica.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    fingerprint: u64,
    /// Expiry of a peer's claim; none for our own, which ends with the attempt.
    expires: Option<Time>,
    /// Whether a suspect of ours runs there, which makes the claim final.
    running: bool,
}

impl Claims {
    /// Records a claim of our own, which is open to dispute.
    pub fn reserve(&mut self, fingerprint: u64, replica: u64) {
        let reservation = Reservation {
            fingerprint,
            expires: None,
            running: false,
        };
        self.by_replica.insert(replica, reservation);
    }

    /// Returns whether we hold the replica for that fingerprint.
    pub fn holds(&self, fingerprint: u64, replica: u64) -> bool {
        self.by_replica.get(&replica).is_some_and(|reservation| {
            reservation.expires.is_none() && reservation.fingerprint == fingerprint
        })
    }

    /// Makes our claim final when the suspect starts.
    pub fn start(&mut self, replica: u64) {
        if let Some(reservation) = self.by_replica.get_mut(&replica) {
            reservation.running = reservation.expires.is_none();
        }
    }

    /// Records a peer's claim. Of two conflicting claims both entries keep the same one: the claim
    /// for the lower fingerprint if they are for one replica, the claim on the lower replica if
    /// they are for one fingerprint.
    pub fn merge(&mut self, claim: &Claim, expires: Time) {
        let prevails = |reservation: &Reservation| {
            let disputed = !reservation.running && claim.fingerprint < reservation.fingerprint;
            reservation.expires.is_none() && !disputed
        };
        if self.by_replica.get(&claim.replica).is_some_and(prevails) {
            return;
        }
        self.by_replica.retain(|replica, reservation| {
            let same =
                reservation.fingerprint == claim.fingerprint && reservation.expires.is_none();
            !same || reservation.running || *replica <= claim.replica
        });
        let reservation = Reservation {
            fingerprint: claim.fingerprint,
            expires: Some(expires),
            running: false,
        };
        self.by_replica.insert(claim.replica, reservation);
    }

    /// Ends our claim for the fingerprint, whose attempt has ended.
    pub fn end_own(&mut self, fingerprint: u64) {
        self.by_replica.retain(|_, reservation| {
            reservation.fingerprint != fingerprint || reservation.expires.is_some()
        });
    }

    /// Drops all claims for the fingerprint, which doesn't have to run alone any more.
    pub fn release(&mut self, fingerprint: u64) {
        self.by_replica
            .retain(|_, reservation| reservation.fingerprint != fingerprint);
    }

    /// Drops the claim on a replica that is gone.
    pub fn drop_replica(&mut self, replica: u64) {
        self.by_replica.remove(&replica);
    }

    /// Drops expired claims.
    pub fn remove_expired(&mut self, now: Time) {
        self.by_replica
            .retain(|_, reservation| reservation.is_live(now));
    }

    /// Returns whether the replica is claimed.
    pub fn is_claimed(&self, now: Time, replica: u64) -> bool {
        self.by_replica
            .get(&replica)
            .is_some_and(|reservation| reservation.is_live(now))
    }

    /// Returns how many replicas are claimed.
    pub fn count(&self, now: Time) -> usize {
        self.by_replica
            .values()
            .filter(|reservation| reservation.is_live(now))
            .count()
    }

    /// Returns until when the fingerprint is claimed by a peer; forever if it runs here.
    pub fn claimed_until(&self, now: Time, fingerprint: u64) -> Option<Time> {
        let reservation = self
            .by_replica
            .values()
            .filter(|reservation| reservation.running || reservation.expires.is_some())
            .find(|reservation| {
                reservation.fingerprint == fingerprint && reservation.is_live(now)
            })?;
        Some(reservation.expires.unwrap_or(Time::from_millis(u64::MAX)))
    }

    /// Returns our own claims, to send to peers.
    pub fn own(&self) -> Vec<Claim> {
        self.by_replica
            .iter()
            .filter(|(_, reservation)| reservation.expires.is_none())
            .map(|(replica, reservation)| Claim {
                fingerprint: reservation.fingerprint,
                replica: *replica,
            })
            .collect()
    }
}

impl Reservation {
    fn is_live(&self, now: Time) -> bool {
        self.expires.is_none_or(|expires| now < expires)
    }
}

//! Assignment of roles among entries, from what this entry knows of the others.

use clock::Time;
use role::candidate::Candidate;
use role::roster::Roster;

use crate::gateway::Gateway;

impl Gateway {
    /// Reassigns the roles. Earlier incarnations get none, since nobody would receive what is sent to them.
    pub(crate) fn assign_roles(&mut self, now: Time) {
        let quiet = self.failure_timeout();
        let peers = self.membership.peers();
        let usable = peers.filter(|(_, known)| known.is_usable(now, quiet));
        let mut candidates: Vec<Candidate> = usable
            .map(|(id, known)| Candidate {
                id,
                zone: known.record.row.zone.clone(),
                capacity: known.capacity(),
                store_lost: known.beat.store_lost,
            })
            .collect();
        let with_heartbeat = candidates.iter().filter(|peer| peer.capacity > 0).count();
        let known = u32::try_from(with_heartbeat + 1).unwrap_or(u32::MAX);
        self.quotas.set_known(now, known);
        if self.is_ready() {
            candidates.push(Candidate {
                id: self.identity.incarnation,
                zone: self.identity.zone.clone(),
                capacity: self.settings.capacity,
                store_lost: self.store_health.is_unavailable(),
            });
        }
        self.roster = Roster::new(&candidates);
    }
}

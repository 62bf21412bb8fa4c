//! Which entries fill roles for all, by what is known of them here.

use clock::Time;
use role::candidate::Candidate;
use role::roster::Roster;

use crate::gateway::Gateway;

impl Gateway {
    /// Assigns the roles anew. Earlier lives have none: they are sent what nobody takes in.
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
        if self.is_ready() {
            candidates.push(Candidate {
                id: self.identity.incarnation,
                zone: self.identity.zone.clone(),
                capacity: self.settings.capacity,
                store_lost: self.contact.is_lost(),
            });
        }
        self.roster = Roster::new(&candidates);
    }
}

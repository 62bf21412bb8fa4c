//! Configuration for peers that can't read it themselves.
//!
//! Most read a change within milliseconds; one that the table service turns away would serve an old version for as
//! long as that lasts. Entries take turns in helping it, by a hash that all compute alike.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use policy::rendezvous;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// A peer that still tells an older version so long after ours came in force is sent ours. Most read
/// it themselves within a few milliseconds; one that the table service turns away can't.
const LAG_GRACE: Span = Span::from_millis(300);
/// Time between two sendings to the same peer, among few entries.
const LAG_RETRY_INTERVAL: Span = Span::from_millis(500);
/// Time from one helper's rank to the next one's, among few entries.
const HELPER_STAGGER: Span = Span::from_millis(120);
/// Among so many entries and fewer the times above hold; they grow with more. What another has read is heard
/// later there, and what all would send meanwhile fills their links: 10,000 documents a second among 79, which
/// made every answer late for ten seconds.
const LAG_BASE_ENTRIES: u32 = 8;

/// Peers whose configuration is older than ours.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lagging {
    /// When each is sent ours.
    due: BTreeMap<holder::Id, Time>,
}

impl Lagging {
    /// When the next one is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.due.values().min().copied()
    }
}

impl Gateway {
    /// Notes peers that tell an older configuration than ours.
    ///
    /// Guards against earlier lives, which stand among the members with the version that they had and the address of
    /// the entry that took their place: after all entries of a large system were killed, each sent its configuration
    /// to thirty others, and a link of 10 Mbit/s was full for 13 s.
    pub(crate) fn update_lagging(&mut self, now: Time) {
        let Some(ours) = self.catalog.as_ref().map(|catalog| catalog.version) else {
            return;
        };
        let me = self.identity.incarnation;
        let helpers = self.helpers(now);
        let mut due = BTreeMap::new();
        for (id, known) in self.membership.directory().latest_by_address() {
            let has_reported = known.beat.count > 0;
            if id == me || !has_reported || known.beat.applied >= ours {
                continue;
            }
            let rank = self.helper_rank(&helpers, id);
            let first = now + LAG_GRACE + HELPER_STAGGER.times(rank * self.lag_factor());
            let at = self.lagging.due.get(&id).copied().unwrap_or(first);
            due.insert(id, at);
        }
        self.lagging.due = due;
    }

    /// The other live entries, each of which helps some peers first.
    fn helpers(&self, now: Time) -> Vec<holder::Id> {
        let quiet = self.failure_timeout();
        let peers = self.membership.peers();
        let live = peers.filter(|(_, known)| known.is_usable(now, quiet));
        live.map(|(id, _)| id).collect()
    }

    /// How many of them go before this one in helping that peer.
    fn helper_rank(&self, helpers: &[holder::Id], peer: holder::Id) -> u64 {
        let weight = |id: holder::Id| rendezvous::weight(peer.0, id.0);
        let ours = weight(self.identity.incarnation);
        let ahead = |id: &&holder::Id| **id != peer && weight(**id) > ours;
        helpers.iter().filter(ahead).count() as u64
    }

    /// By how much lagging peers are helped more slowly than among few entries.
    fn lag_factor(&self) -> u64 {
        u64::from((self.entry_count() / LAG_BASE_ENTRIES).max(1))
    }

    /// Sends our configuration to peers that lag behind.
    pub(crate) fn send_configurations(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let due: Vec<holder::Id> = self
            .lagging
            .due
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let next = now + LAG_RETRY_INTERVAL.times(self.lag_factor());
            self.lagging.due.insert(id, next);
            if let Some(address) = self.membership.peer_address(id).cloned() {
                let line = Line::info("configuration_sent").with("peer", &address);
                effects.push(Effect::Log(line));
                effects.push(Effect::SendConfiguration {
                    address,
                    document: self.document.clone(),
                });
            }
        }
    }
}

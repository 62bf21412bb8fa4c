//! Sends the configuration to peers that can't read it themselves.
//!
//! Most entries read a change within milliseconds; one whose reads the table service refuses would serve the
//! old version until they succeed. Entries take turns in helping it, in an order that all derive from the
//! same hash.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use policy::rendezvous;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// Time after a change at which a peer that still reports an older version is sent ours. Most read it
/// themselves within a few milliseconds.
const LAG_GRACE: Span = Span::from_millis(300);
/// Time between two sends to the same peer, up to [`LAG_BASE_ENTRIES`] entries.
const LAG_RETRY_INTERVAL: Span = Span::from_millis(500);
/// Delay between the turns of two helpers, up to [`LAG_BASE_ENTRIES`] entries.
const HELPER_STAGGER: Span = Span::from_millis(120);
/// Number of entries up to which the times above hold; with more, they grow in proportion. Reports of applied
/// versions arrive later there, and sends in the meantime fill the links: 79 entries sent 10,000 documents a
/// second, which delayed every answer for ten seconds.
const LAG_BASE_ENTRIES: u32 = 8;

/// Peers whose configuration is older than this entry's.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lagging {
    /// When the configuration is next sent to each peer.
    due: BTreeMap<holder::Id, Time>,
}

impl Lagging {
    /// Returns when the next send is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.due.values().min().copied()
    }
}

impl Gateway {
    /// Updates the peers that report an older configuration than this entry's.
    ///
    /// Of the incarnations at an address only the latest counts. Earlier ones remain members with their old
    /// version: after all entries of a large system were killed, each sent its configuration to thirty
    /// others, and a link of 10 Mbit/s was saturated for 13 s.
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
            let first_due = now + LAG_GRACE + HELPER_STAGGER.times(rank * self.lag_factor());
            let due_at = self.lagging.due.get(&id).copied().unwrap_or(first_due);
            due.insert(id, due_at);
        }
        self.lagging.due = due;
    }

    /// Returns the live peers, which help as well.
    fn helpers(&self, now: Time) -> Vec<holder::Id> {
        let timeout = self.failure_timeout();
        let peers = self.membership.peers();
        let live = peers.filter(|(_, known)| known.is_usable(now, timeout));
        live.map(|(id, _)| id).collect()
    }

    /// Returns how many helpers precede this entry in helping `peer`.
    fn helper_rank(&self, helpers: &[holder::Id], peer: holder::Id) -> u64 {
        let weight = |id: holder::Id| rendezvous::weight(peer.0, id.0);
        let ours = weight(self.identity.incarnation);
        let ahead = |id: &&holder::Id| **id != peer && weight(**id) > ours;
        helpers.iter().filter(ahead).count() as u64
    }

    /// Returns the factor by which the times grow with the number of entries.
    fn lag_factor(&self) -> u64 {
        u64::from((self.entry_count() / LAG_BASE_ENTRIES).max(1))
    }

    /// Sends the configuration to the lagging peers that are due.
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

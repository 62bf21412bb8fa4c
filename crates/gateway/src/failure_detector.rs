//! Failure detection among entries.
//!
//! Few entries exchange heartbeats directly. Among many, hubs receive one from every entry twice a second,
//! and every entry one from each hub. An entry that misses them suspects the sender, and a hub announces it
//! to all; a later heartbeat refutes the suspicion. The time to detect a failure therefore doesn't grow with
//! the number of entries, as it does with gossiped heartbeats. Suspicion and refutation follow SWIM (Das,
//! Gupta and Motivala, 2002); an entry that was delayed itself suspects nobody, as in Lifeguard (Dadgar et
//! al., 2017).

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use member::directory::Member;
use smol_str::format_smolstr;

use crate::effect::Effect;
use crate::effect::Lane;
use crate::gateway::Gateway;

/// Time without a heartbeat after which a sender is suspected; it sends at least two a second.
const HEARTBEAT_TIMEOUT: Span = Span::from_millis(1_250);
/// Longest time between two ticks before this entry is taken to have been delayed itself.
const MAX_TICK_GAP: Span = Span::from_millis(900);

/// Tracks since when this entry has been able to receive heartbeats without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Monitor {
    since: Time,
    last_tick: Time,
    /// Whether this entry was a hub at the last tick.
    was_hub: bool,
}

impl Monitor {
    /// Records a tick and returns since when there has been no gap.
    fn observe(&mut self, now: Time, hub: bool) -> Time {
        if now.since(self.last_tick) > MAX_TICK_GAP || hub && !self.was_hub {
            self.since = now;
        }
        self.last_tick = now;
        self.was_hub = hub;
        self.since
    }
}

impl Gateway {
    /// Suspects entries whose direct heartbeats are missing; as a hub, announces them.
    pub(crate) fn failure_detector_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let hub = self.hub.is_hub(self.identity.incarnation);
        let since = self.hub.monitor.observe(now, hub);
        let peers = || self.membership.peers();
        let is_silent = |known: &Member| now.since(known.last_seen.max(since)) >= HEARTBEAT_TIMEOUT;

        // If all heartbeats are missing, this entry is the one that is cut off.
        if peers().all(|(_, known)| is_silent(known)) {
            return;
        }
        let direct = |id: holder::Id| hub || !self.uses_hubs() || self.hub.is_hub(id);
        let silent = peers().filter(|(id, known)| {
            known.is_present() && known.beat.count > 0 && direct(*id) && is_silent(known)
        });
        let mut silent: Vec<(holder::Id, u64)> =
            silent.map(|(id, known)| (id, known.beat.count)).collect();
        silent.retain(|(id, count)| self.membership.suspect(now, *id, *count));
        if silent.is_empty() {
            return;
        }
        let line = Line::info("entries_silent")
            .with("count", silent.len())
            .with("hub", hub);
        effects.push(Effect::Log(line));
        if hub {
            self.announce_suspects(&silent, effects);
        }
    }

    /// Announces suspected entries to all peers.
    fn announce_suspects(&mut self, silent: &[(holder::Id, u64)], effects: &mut Vec<Effect>) {
        let items = silent.iter().map(|(id, count)| Item {
            topic: Topic::Silent,
            key: format_smolstr!("{id}"),
            version: *count,
            age_ms: 0,
            payload: Vec::new(),
        });
        let digest = Digest {
            own: self.membership.beat(),
            items: items.collect(),
            ..Digest::default()
        };
        // Suspected entries are included, so that a live one refutes it.
        for (_, known) in self.membership.peers() {
            let address = known.record.row.peer_address.clone();
            effects.push(Effect::SendDigest {
                address,
                digest: digest.clone(),
                lane: Lane::Immediate,
            });
        }
    }

    /// Handles a hub's suspicion of an entry.
    pub(crate) fn handle_suspicion(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let Some(id) = holder::Id::parse(&item.key) else {
            return;
        };
        if id == self.identity.incarnation {
            effects.push(Effect::Log(Line::info("suspected")));
        }
        self.membership.suspect(now, id, item.version);
    }
}

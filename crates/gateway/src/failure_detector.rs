//! Failure detection among entries.
//!
//! Few entries exchange heartbeats directly. Among many, hubs receive one from every entry twice a second, and every
//! entry one from each hub. An entry that misses them suspects the sender, and a hub announces it to all; a later
//! heartbeat refutes the suspicion. So the time to detect a failure doesn't grow with the number of entries, as that of
//! gossiped heartbeats does. Ground: suspicion and refutation as in SWIM, Das, Gupta and Motivala 2002; an entry that
//! ran late itself suspects nobody, as in Lifeguard, Dadgar et al. 2017.

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

/// Missing heartbeats of a sender that sends two a second or more.
const HEARTBEAT_TIMEOUT: Span = Span::from_millis(1_250);
/// A longer pause between two looks means that this entry was late itself.
const MAX_TICK_GAP: Span = Span::from_millis(900);

/// For how long this entry has received heartbeats without a gap of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Monitor {
    since: Time,
    last_tick: Time,
    /// Whether it was a hub at the last look.
    was_hub: bool,
}

impl Monitor {
    /// Notes a look; since when there is no gap.
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
    /// Suspects entries whose direct heartbeats are missing; a hub announces it.
    pub(crate) fn failure_detector_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let hub = self.hub.is_hub(self.identity.incarnation);
        let since = self.hub.monitor.observe(now, hub);
        let peers = || self.membership.peers();
        let is_silent = |known: &Member| now.since(known.last_seen.max(since)) >= HEARTBEAT_TIMEOUT;
        // Without any heartbeat, this entry is the one that is cut off.
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

    /// Announces suspected entries to all.
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
        // Also to the suspected ones, so that a live one refutes it.
        for (_, known) in self.membership.peers() {
            let address = known.record.row.peer_address.clone();
            effects.push(Effect::SendDigest {
                address,
                digest: digest.clone(),
                lane: Lane::Immediate,
            });
        }
    }

    /// A hub suspects an entry.
    pub(crate) fn suspicion_reported(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let Some(id) = holder::Id::parse(&item.key) else {
            return;
        };
        if id == self.identity.incarnation {
            effects.push(Effect::Log(Line::info("suspected")));
        }
        self.membership.suspect(now, id, item.version);
    }
}

//! Entries that fall silent.
//!
//! Few entries hear each other directly. Among many, hubs hear every entry twice a second, and every entry hears the
//! hubs as often. Whoever hears an entry directly says
//! that it fell silent, at once and to all; a later heartbeat of that entry refutes it. So how long a lost entry is
//! counted on doesn't grow with the time that heartbeats take to come round. Ground: suspicion and refutation as in
//! SWIM, Das, Gupta and Motivala 2002; who was late itself doubts itself first, as in Lifeguard, Dadgar et al. 2017.

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use member::directory::Known;
use smol_str::format_smolstr;

use crate::effect::Effect;
use crate::effect::Lane;
use crate::gateway::Gateway;

/// Silence of an entry that is heard twice a second or more often.
const SILENT: Span = Span::from_millis(1_250);
/// A longer pause between two looks means that this entry was late itself.
const LATE: Span = Span::from_millis(900);

/// How long this entry has looked for silent ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Watching {
    since: Time,
    last: Time,
    /// Whether it was a hub at the last look.
    hub: bool,
}

impl Watching {
    /// Notes a look; since when there is no gap.
    fn look(&mut self, now: Time, hub: bool) -> Time {
        if now.since(self.last) > LATE || hub && !self.hub {
            self.since = now;
        }
        self.last = now;
        self.hub = hub;
        self.since
    }
}

impl Gateway {
    /// Suspects entries that this one hears directly and that fell silent; a hub tells all others.
    pub(crate) fn silence_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let hub = self.hub.knows(self.identity.incarnation);
        let since = self.hub.watching.look(now, hub);
        let peers = || self.membership.peers();
        let is_silent = |known: &Known| now.since(known.heard.max(since)) >= SILENT;
        // Where nobody is heard, this entry is the one that is cut off.
        if peers().all(|(_, known)| is_silent(known)) {
            return;
        }
        let direct = |id: holder::Id| hub || !self.by_hubs() || self.hub.knows(id);
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
            self.tell_silent(&silent, effects);
        }
    }

    /// Tells all others of silent entries.
    fn tell_silent(&mut self, silent: &[(holder::Id, u64)], effects: &mut Vec<Effect>) {
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
        // Those that are meant too: one that lives refutes it.
        for (_, known) in self.membership.peers() {
            let address = known.record.row.peer_address.clone();
            effects.push(Effect::SendDigest {
                address,
                digest: digest.clone(),
                lane: Lane::News,
            });
        }
    }

    /// Another entry says that one fell silent.
    pub(crate) fn told_silent(&mut self, now: Time, item: &Item, effects: &mut Vec<Effect>) {
        let Some(id) = holder::Id::parse(&item.key) else {
            return;
        };
        if id == self.identity.incarnation {
            effects.push(Effect::Log(Line::info("suspected")));
        }
        self.membership.suspect(now, id, item.version);
    }
}

//! How counts travel among many entries.
//!
//! Up to [`DIRECT`] entries each tells all others. Beyond, that would be thousands of messages a second, so
//! each tells two hubs, and these tell everyone the sum of all others' counts. Any entry can be a hub: the two
//! that rank first among the live ones, by a hash that all compute alike. Both send; whichever was heard last
//! counts, so that the loss of one changes nothing.

use std::collections::BTreeMap;

use clock::Time;
use lease::holder;
use line::Line;
use member::digest::Beat;
use member::digest::Digest;
use member::digest::Item;
use member::digest::Topic;
use policy::rendezvous;
use smol_str::format_smolstr;

use crate::bulletin::Bulletin;
use crate::effect::Effect;
use crate::gateway::Gateway;

/// Most entries that tell each other directly: 16 messages four times a second, about one percent of a core.
const DIRECT: usize = 16;
/// Hubs: with one, its loss would silence all until everyone has noticed.
pub(crate) const HUBS: usize = 2;
/// What the hubs' rank is drawn from.
const KEY: &str = "hub";
/// In whose name a sum is taken in; no entry draws this number.
pub(crate) const SUM: holder::Id = holder::Id(u64::MAX);

/// What a hub has heard.
#[derive(Debug, Default)]
pub(crate) struct Hub {
    /// By entry; that of ended ones stays, since their counts still hold.
    heard: BTreeMap<holder::Id, (Time, Bulletin)>,
    /// Whose sums are taken in, and when the last one came.
    pub(crate) listened: Option<(holder::Id, Time)>,
    /// The hubs as they were last.
    known: Vec<holder::Id>,
}

impl Gateway {
    /// Whether counts travel by hubs.
    pub(crate) fn by_hubs(&self) -> bool {
        self.membership.directory().count() > DIRECT
    }

    /// The entries that rank first among the live ones.
    pub(crate) fn hubs(&self, now: Time) -> Vec<holder::Id> {
        let key = rendezvous::identity(KEY);
        let quiet = self.quiet();
        let me = self.identity.incarnation;
        let directory = self.membership.directory().iter();
        let usable = directory.filter(|(id, known)| *id != me && known.is_usable(now, quiet));
        let own = self.is_ready().then_some(me);
        let mut ranked: Vec<holder::Id> = usable.map(|(id, _)| id).chain(own).collect();
        ranked.sort_by_key(|id| std::cmp::Reverse(rendezvous::weight(key, id.0)));
        ranked.truncate(HUBS);
        ranked
    }

    /// Tells the hubs what is counted here; a hub tells all others.
    pub(crate) fn tell_by_hubs(&mut self, now: Time, own: Bulletin, effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let hubs = self.hubs(now);
        if hubs != self.hub.known {
            let names: Vec<String> = hubs.iter().map(|hub| hub.to_string()).collect();
            let line = Line::info("hubs").with("ids", names.join(","));
            effects.push(Effect::Log(line));
            self.hub.known = hubs.clone();
        }
        for hub in hubs.iter().filter(|hub| **hub != me) {
            self.send_bulletin(*hub, &own, effects);
        }
        if !hubs.contains(&me) {
            return;
        }
        self.hub.heard.insert(me, (now, own.clone()));
        let total = self.sum_up(now);
        self.sum_came(now, me, total.without(&own));
        let present = self.membership.directory().present();
        let others: Vec<holder::Id> = present.map(|(id, _)| id).filter(|id| *id != me).collect();
        for to in others {
            let share = match self.hub.heard.get(&to) {
                Some((_, theirs)) => total.without(theirs),
                None => total.clone(),
            };
            self.send_bulletin(to, &share, effects);
        }
    }

    /// Notes what an entry tells this one as a hub.
    pub(crate) fn hub_heard(&mut self, now: Time, from: holder::Id, bulletin: &Bulletin) {
        if self.by_hubs() {
            self.hub.heard.insert(from, (now, bulletin.clone()));
        }
    }

    /// The sum of all that was heard; what entries run counts only while they are heard.
    fn sum_up(&self, now: Time) -> Bulletin {
        let quiet = self.quiet();
        let mut total = Bulletin {
            unix_ms: self.usage.raw_unix_ms(now),
            ..Bulletin::default()
        };
        for (heard, bulletin) in self.hub.heard.values() {
            let fresh = now.since(*heard) <= quiet;
            total.add(bulletin, fresh);
        }
        total
    }

    fn send_bulletin(&mut self, to: holder::Id, bulletin: &Bulletin, effects: &mut Vec<Effect>) {
        let Some(address) = self.membership.peer_address(to).cloned() else {
            return;
        };
        let payload = match serde_json::to_vec(bulletin) {
            Ok(payload) => payload,
            Err(error) => {
                let line = Line::warn("bulletin_lost").with("error", error);
                return effects.push(Effect::Log(line));
            }
        };
        self.news_version += 1;
        let me = self.identity.incarnation;
        let item = Item {
            topic: Topic::Count,
            key: format_smolstr!("{me}"),
            version: self.news_version,
            age_ms: 0,
            payload,
        };
        let digest = Digest {
            own: Beat {
                id: me,
                ..Beat::default()
            },
            items: vec![item],
            ..Digest::default()
        };
        effects.push(Effect::SendDigest { address, digest });
    }
}

//! All members this entry knows of, from its own reads and from others' word.
//!
//! Good enough to choose whom to talk to and whom to name to callers. What must not be wrong (when a
//! lease has lapsed for certain) is concluded from our own reads alone, in [`crate::roster`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use lease::holder;
use smol_str::SmolStr;

use crate::digest::Beat;
use crate::digest::Record;
use crate::row::State;

/// Heartbeats that may come in after a suspicion though they were sent before it: gossip takes longer ways.
pub const REFUTATION_LEAD: u64 = 12;

/// The members.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: BTreeMap<holder::Id, Member>,
}

/// One member.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest record.
    pub record: Record,
    /// The newest heartbeat.
    pub beat: Beat,
    /// When the heartbeat last rose, or the member was first heard of.
    pub last_seen: Time,
    /// The last heartbeat that doesn't refute a suspicion, if there is one.
    pub suspected_count: Option<u64>,
}

impl Directory {
    /// Takes a record; true if it says something that others should hear.
    pub fn merge(&mut self, now: Time, record: &Record) -> bool {
        let Some(known) = self.members.get_mut(&record.row.id) else {
            if record.gone || record.row.state == State::Left {
                return false;
            }
            let known = Member {
                record: record.clone(),
                beat: Beat::default(),
                last_seen: now,
                suspected_count: None,
            };
            self.members.insert(record.row.id, known);
            return true;
        };
        let old = &known.record;
        let newer = record.row.renewals > old.row.renewals;
        let lapsed = record.row.renewals == old.row.renewals && record.gone && !old.gone;
        if !newer && !lapsed {
            return false;
        }
        let is_news = record.gone != old.gone
            || record.row.state != old.row.state
            || record.row.heir != old.row.heir
            || record.row.address != old.row.address;
        known.record = record.clone();
        is_news
    }

    /// Takes a heartbeat; true if the member is known and has applied a newer version.
    pub fn record_beat(&mut self, now: Time, beat: &Beat) -> bool {
        let Some(known) = self.members.get_mut(&beat.id) else {
            return false;
        };
        if beat.count <= known.beat.count {
            return false;
        }
        let newer = beat.applied > known.beat.applied;
        known.beat = *beat;
        known.last_seen = now;
        newer
    }

    /// Suspects a member by the count of its last heartbeat; false if it was suspected, or a later one refutes it.
    pub fn suspect(&mut self, id: holder::Id, count: u64) -> bool {
        let Some(known) = self.members.get_mut(&id) else {
            return false;
        };
        let refuted_above = count + REFUTATION_LEAD;
        if known.beat.count > refuted_above
            || known
                .suspected_count
                .is_some_and(|known| known >= refuted_above)
        {
            return false;
        }
        known.suspected_count = Some(refuted_above);
        true
    }

    /// Forgets members that went or left and were not heard for `keep`; names them.
    pub fn expire(&mut self, now: Time, keep: Span) -> Vec<holder::Id> {
        let expired: Vec<holder::Id> = self
            .iter()
            .filter(|(_, known)| !known.is_present() && now.since(known.last_seen) > keep)
            .map(|(id, _)| id)
            .collect();
        for id in &expired {
            self.members.remove(id);
        }
        expired
    }

    /// What is known of a member.
    pub fn get(&self, id: holder::Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// All members, also those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = (holder::Id, &Member)> {
        self.members.iter().map(|(id, known)| (*id, known))
    }

    /// Members that have not gone or left.
    pub fn present(&self) -> impl Iterator<Item = (holder::Id, &Member)> {
        self.iter().filter(|(_, known)| known.is_present())
    }

    /// Of the members at each address the one that was heard last; the others are earlier lives of it.
    pub fn latest_by_address(&self) -> impl Iterator<Item = (holder::Id, &Member)> {
        let mut latest: BTreeMap<&SmolStr, (holder::Id, &Member)> = BTreeMap::new();
        for (id, known) in self.present() {
            let newest = latest
                .entry(&known.record.row.peer_address)
                .or_insert((id, known));
            let recency = |one: &Member| (one.beat.count > 0, one.last_seen);
            if recency(known) > recency(newest.1) {
                *newest = (id, known);
            }
        }
        // In the order of ids, as all members come.
        let latest: BTreeMap<holder::Id, &Member> = latest.into_values().collect();
        latest.into_iter()
    }

    /// How many have not gone or left.
    pub fn present_count(&self) -> usize {
        self.present().count()
    }

    /// How many addresses the members have that haven't gone or left. One that was killed and started again is
    /// two members until the first is known gone; both have one address.
    pub fn address_count(&self) -> usize {
        let present = self.present();
        let addresses = present.map(|(_, known)| &known.record.row.peer_address);
        addresses.collect::<BTreeSet<_>>().len()
    }
}

impl Member {
    /// Whether it has not gone or left.
    pub fn is_present(&self) -> bool {
        !self.record.gone && self.record.row.state != State::Left
    }

    /// How much it can take against others, 1 to 255; 0 before it has told.
    pub fn capacity(&self) -> u8 {
        match self.beat.count {
            0 => 0,
            _ => u8::MAX - self.beat.load,
        }
    }

    /// Whether it is suspected, and no heartbeat has refuted that.
    pub fn is_suspected(&self) -> bool {
        self.suspected_count
            .is_some_and(|count| self.beat.count <= count)
    }

    /// Whether it may be named to callers: live, with a heartbeat within `quiet`, and not suspected.
    pub fn is_usable(&self, now: Time, timeout: Span) -> bool {
        let live = self.is_present() && self.record.row.state == State::Live;
        live && now.since(self.last_seen) <= timeout && !self.is_suspected()
    }
}

//! All members that this entry knows, from its own reads and from gossip.
//!
//! Accurate enough to choose peers for messages and addresses for callers. Whether a lease has lapsed,
//! which must not be wrong, is concluded from this entry's own reads alone, in [`crate::roster`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use lease::holder;
use smol_str::SmolStr;

use crate::digest::Beat;
use crate::digest::Record;
use crate::row::State;

/// Heartbeats that may arrive after a suspicion though they were sent before it, as gossip takes longer
/// paths.
pub const REFUTATION_LEAD: u64 = 12;

/// All known members.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: BTreeMap<holder::Id, Member>,
    presence_changes: u64,
}

/// A known member.
#[derive(Clone, Debug)]
pub struct Member {
    /// The newest record.
    pub record: Record,
    /// The newest heartbeat.
    pub beat: Beat,
    /// When a newer heartbeat last arrived, or the member was discovered.
    pub last_seen: Time,
    /// If suspected, the highest heartbeat count that doesn't refute the suspicion.
    pub suspected_count: Option<u64>,
}

impl Directory {
    /// Merges a record; returns whether others should receive it.
    pub fn merge(&mut self, now: Time, record: &Record) -> bool {
        let Some(member) = self.members.get_mut(&record.row.id) else {
            if record.gone || record.row.state == State::Left {
                return false;
            }
            let member = Member {
                record: record.clone(),
                beat: Beat::default(),
                last_seen: now,
                suspected_count: None,
            };
            self.members.insert(record.row.id, member);
            self.presence_changes += 1;
            return true;
        };
        let was_present = member.is_present();
        let old = &member.record;
        let newer = record.row.renewals > old.row.renewals;
        let lapsed = record.row.renewals == old.row.renewals && record.gone && !old.gone;
        if !newer && !lapsed {
            return false;
        }
        let is_news = record.gone != old.gone
            || record.row.state != old.row.state
            || record.row.heir != old.row.heir
            || record.row.address != old.row.address;
        member.record = record.clone();
        self.presence_changes += u64::from(member.is_present() != was_present);
        is_news
    }

    /// Records a heartbeat; returns whether the member is known and has applied a newer version.
    pub fn record_beat(&mut self, now: Time, beat: &Beat) -> bool {
        let Some(member) = self.members.get_mut(&beat.id) else {
            return false;
        };
        if beat.count <= member.beat.count {
            return false;
        }
        let newer = beat.applied > member.beat.applied;
        member.beat = *beat;
        member.last_seen = now;
        newer
    }

    /// Suspects a member by the count of its last heartbeat; false if already suspected or refuted by a
    /// later heartbeat.
    pub fn suspect(&mut self, id: holder::Id, count: u64) -> bool {
        let Some(member) = self.members.get_mut(&id) else {
            return false;
        };
        let refuted_above = count + REFUTATION_LEAD;
        if member.beat.count > refuted_above
            || member
                .suspected_count
                .is_some_and(|suspected| suspected >= refuted_above)
        {
            return false;
        }
        member.suspected_count = Some(refuted_above);
        true
    }

    /// Removes members that are gone or left and had no heartbeat for `keep`; returns their ids.
    pub fn expire(&mut self, now: Time, keep: Span) -> Vec<holder::Id> {
        let expired: Vec<holder::Id> = self
            .iter()
            .filter(|(_, member)| !member.is_present() && now.since(member.last_seen) > keep)
            .map(|(id, _)| id)
            .collect();
        for id in &expired {
            self.members.remove(id);
        }
        expired
    }

    /// Returns a member.
    pub fn get(&self, id: holder::Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns all members, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = (holder::Id, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the members that are not gone and have not left.
    pub fn present(&self) -> impl Iterator<Item = (holder::Id, &Member)> {
        self.iter().filter(|(_, member)| member.is_present())
    }

    /// Returns the member that was last seen at each address; the others there are earlier lives of it.
    pub fn latest_by_address(&self) -> impl Iterator<Item = (holder::Id, &Member)> {
        let mut latest: BTreeMap<&SmolStr, (holder::Id, &Member)> = BTreeMap::new();
        for (id, member) in self.present() {
            let newest = latest
                .entry(&member.record.row.peer_address)
                .or_insert((id, member));
            let recency = |member: &Member| (member.beat.count > 0, member.last_seen);
            if recency(member) > recency(newest.1) {
                *newest = (id, member);
            }
        }
        // In order of id, like the other iterators.
        let latest: BTreeMap<holder::Id, &Member> = latest.into_values().collect();
        latest.into_iter()
    }

    /// Returns how often a member became present or ceased to be.
    pub fn presence_changes(&self) -> u64 {
        self.presence_changes
    }

    /// Returns the number of members that are not gone and have not left.
    pub fn present_count(&self) -> usize {
        self.present().count()
    }

    /// Returns the number of addresses of present members. An entry that was killed and restarted is two
    /// members with one address until the first is known to be gone.
    pub fn address_count(&self) -> usize {
        let present = self.present();
        let addresses = present.map(|(_, member)| &member.record.row.peer_address);
        addresses.collect::<BTreeSet<_>>().len()
    }
}

impl Member {
    /// Returns whether it is not gone and has not left.
    pub fn is_present(&self) -> bool {
        !self.record.gone && self.record.row.state != State::Left
    }

    /// Returns its spare capacity relative to others, 1 to 255; 0 before its first heartbeat.
    pub fn capacity(&self) -> u8 {
        match self.beat.count {
            0 => 0,
            _ => u8::MAX - self.beat.load,
        }
    }

    /// Returns whether it is suspected and no heartbeat has refuted that.
    pub fn is_suspected(&self) -> bool {
        self.suspected_count
            .is_some_and(|count| self.beat.count <= count)
    }

    /// Returns whether callers may use it: live, with a heartbeat within `timeout`, and not suspected.
    pub fn is_usable(&self, now: Time, timeout: Span) -> bool {
        let live = self.is_present() && self.record.row.state == State::Live;
        live && now.since(self.last_seen) <= timeout && !self.is_suspected()
    }
}

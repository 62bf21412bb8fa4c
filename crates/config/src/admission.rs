//! Decides whether this entry may admit requests under the version it holds.
//!
//! Guards against an entry that was paused, or cut off from the table service, and serves under a version
//! that has been replaced while nobody waited for this entry any more.
//!
//! An entry may admit on either of two grounds. The first is a valid lease, if the entry has read the head
//! since it gained the lease: every acceptance then waits for it. The second is a majority vote: a majority
//! of all members has answered recent queries that it holds nothing newer, so no acceptance can have found
//! a majority (see [`crate::acceptance`]). The second ground keeps entries serving while the table service
//! is unavailable. It also lets an entry start in that time with the newest version that a majority knows,
//! which is at least as new as any accepted version. A query carries the sender's own time and the answer
//! returns it, so an answer that a paused peer or the network delayed has expired when it arrives.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use lease::holding::Holding;

use crate::configs::agreement::Settings;

/// Lease and votes of this entry.
#[derive(Clone, Debug)]
pub struct Admission {
    me: holder::Id,
    lease: Holding,
    /// Epoch of the lease in which the head was read and its version applied.
    confirmed_epoch: Option<u64>,
    voters: Vec<holder::Id>,
    votes: BTreeMap<holder::Id, Vote>,
    /// Whether the last read of the head failed.
    store_failing: bool,
    settings: Settings,
}

/// Newest version that a member reported.
#[derive(Clone, Copy, Debug)]
struct Vote {
    /// Time at which the query was sent.
    asked_at: Time,
    /// Version that the member held.
    version: u64,
}

impl Admission {
    /// Creates a state with neither a lease nor votes.
    pub fn new(me: holder::Id, settings: Settings) -> Admission {
        Admission {
            me,
            lease: Holding::default(),
            confirmed_epoch: None,
            voters: Vec::new(),
            votes: BTreeMap::new(),
            store_failing: false,
            settings,
        }
    }

    /// Returns whether requests may be admitted under version `applied` now.
    pub fn admits(&self, now: Time, applied: u64) -> bool {
        self.is_leased(now) || self.has_majority(now, applied)
    }

    /// Returns whether the lease is valid and the head was read since it was gained.
    pub fn is_leased(&self, now: Time) -> bool {
        self.lease.is_valid(now) && self.confirmed_epoch == Some(self.lease.epoch)
    }

    /// Returns whether votes should be requested: the store fails, and the lease has expired or soon will.
    ///
    /// A request delays the announcements of the members that answer it, so an entry that only started or was
    /// paused sends none.
    pub fn needs_votes(&self, now: Time) -> bool {
        if !self.store_failing {
            return false;
        }
        !self.is_leased(now) || self.lease.valid_until < now + self.vote_validity()
    }

    /// Returns when votes should be requested, given the time of the next round.
    pub fn next_wake(&self, now: Time, next_vote_round: Time) -> Option<Time> {
        if self.needs_votes(now) {
            return Some(next_vote_round);
        }
        let votes_needed_at = self
            .lease
            .valid_until
            .since(Time::ZERO + self.vote_validity());
        self.store_failing.then_some(Time::ZERO + votes_needed_at)
    }

    /// Sets whether the last read of the head failed.
    pub fn set_store_failing(&mut self, store_failing: bool) {
        self.store_failing = store_failing;
    }

    /// Returns the current lease.
    pub fn lease(&self) -> Holding {
        self.lease
    }

    /// Sets the lease after it was gained or renewed.
    pub fn set_lease(&mut self, lease: Holding) {
        self.lease = lease;
    }

    /// Records that the version of a head read in this epoch has been applied.
    pub fn confirm(&mut self, epoch: u64) {
        self.confirmed_epoch = self.confirmed_epoch.max(Some(epoch));
    }

    /// Sets all members, as read from the table service, and drops the votes of others.
    pub fn set_voters(&mut self, voters: Vec<holder::Id>) {
        self.votes.retain(|member, _| voters.contains(member));
        self.voters = voters;
    }

    /// Returns all members whose votes count.
    pub fn voters(&self) -> &[holder::Id] {
        &self.voters
    }

    /// Records a member's answer to a query sent at `asked_at`.
    pub fn record_vote(&mut self, member: holder::Id, asked_at: Time, version: u64) {
        if !self.voters.contains(&member) {
            return;
        }
        let vote = self
            .votes
            .entry(member)
            .or_insert(Vote { asked_at, version });
        vote.asked_at = vote.asked_at.max(asked_at);
        vote.version = vote.version.max(version);
    }

    /// Returns how long a vote stays valid after its query was sent.
    pub fn vote_validity(&self) -> Span {
        self.settings.vote_validity_among(self.voters.len())
    }

    /// Returns whether valid votes of a majority hold nothing newer than `applied`.
    fn has_majority(&self, now: Time, applied: u64) -> bool {
        let agreeing = self
            .voters
            .iter()
            .filter(|member| **member == self.me || self.agrees(**member, now, applied))
            .count();
        agreeing * 2 > self.voters.len()
    }

    fn agrees(&self, member: holder::Id, now: Time, applied: u64) -> bool {
        self.votes.get(&member).is_some_and(|vote| {
            now < vote.asked_at + self.vote_validity() && vote.version <= applied
        })
    }
}

//! Decides when a committed version is in force at every entry.
//!
//! Guards against telling an operator "accepted" while an entry that nobody waits for still admits requests
//! under the old version, for example with a revoked key.
//!
//! A version is accepted once every member that was read from the table service after the commit either
//! announced that it has applied the version, or is *out*: its lease has lapsed by the local clock. A
//! member whose row was written after that read reads the head before it admits anything, so it can't miss
//! the commit. Members that are out, and entries that have no row yet, may still admit by a majority vote
//! (see [`crate::admission`]): a majority of all members reported recently that it holds nothing newer. A
//! member that cast such a vote doesn't announce a newer version as applied until its vote has expired (see
//! [`crate::promise`]). So while any member is out, acceptance requires that a majority of all members are
//! not out and have announced the version. Any two majorities share a member, and the vote of that member
//! has expired.
//!
//! Each side counts its majority among the members that it last read. The two majorities certainly overlap as
//! long as no more members joined than were removed while a majority could not read the table service.

use std::collections::BTreeMap;

use clock::Time;
use lease::holder;
use lease::view::View;

use crate::change::Progress;

/// Tracks versions until they are accepted.
#[derive(Clone, Debug, Default)]
pub struct Acceptance {
    view: View,
    /// Newest version that each member is known to have applied. It never falls for an incarnation, so
    /// reports that arrive late are safe to use.
    applied: BTreeMap<holder::Id, u64>,
    /// Time at which this entry learned of the commit of each tracked version; only later views count.
    commit_known_at: BTreeMap<u64, Time>,
    accepted_version: u64,
}

impl Acceptance {
    /// Creates an empty tracker.
    pub fn new() -> Acceptance {
        Acceptance {
            view: View::default(),
            applied: BTreeMap::new(),
            commit_known_at: BTreeMap::new(),
            accepted_version: 0,
        }
    }

    /// Tracks a version that is known to be committed.
    pub fn track(&mut self, now: Time, version: u64) {
        if version <= self.accepted_version {
            return;
        }
        self.commit_known_at.entry(version).or_insert(now);
    }

    /// Replaces the view and drops the applied versions of members that are no longer in it.
    pub fn set_view(&mut self, view: View) {
        for member in &view.members {
            let applied = self.applied.entry(member.id).or_default();
            *applied = member.applied.max(*applied);
        }
        self.applied
            .retain(|id, _| view.members.iter().any(|member| member.id == *id));
        self.view = view;
    }

    /// Records that a member has applied a version, by its own or another member's report.
    pub fn set_applied(&mut self, member: holder::Id, version: u64) {
        if let Some(applied) = self.applied.get_mut(&member) {
            *applied = version.max(*applied);
        }
    }

    /// Returns all members of the last view.
    pub fn members(&self) -> impl Iterator<Item = holder::Id> {
        self.view.members.iter().map(|member| member.id)
    }

    /// Returns whether a version awaits a newer view.
    pub fn needs_view(&self) -> bool {
        !self.commit_known_at.is_empty()
    }

    /// Returns the progress of a version and stops tracking it when it is accepted.
    pub fn progress(&mut self, version: u64) -> Progress {
        if version <= self.accepted_version {
            return Progress::Accepted;
        }
        let Some(known_at) = self.commit_known_at.get(&version) else {
            return Progress::Unknown;
        };
        if self.view.requested_at < *known_at || self.view.members.is_empty() {
            return Progress::Waiting(Vec::new());
        }
        let waiting = self.members_behind(version, false);
        if !waiting.is_empty() {
            return Progress::Waiting(waiting);
        }
        let lapsed = self.members_behind(version, true);
        if !lapsed.is_empty() && !self.has_majority_applied(version) {
            return Progress::Waiting(lapsed);
        }
        self.accepted_version = version;
        self.commit_known_at = self.commit_known_at.split_off(&(version + 1));
        Progress::Accepted
    }

    /// Returns the members that have not applied the version, either lapsed or live ones.
    fn members_behind(&self, version: u64, lapsed: bool) -> Vec<holder::Id> {
        self.view
            .members
            .iter()
            .filter(|member| member.lapsed == lapsed && !self.has_applied(member.id, version))
            .map(|member| member.id)
            .collect()
    }

    fn has_majority_applied(&self, version: u64) -> bool {
        let applied = self
            .view
            .members
            .iter()
            .filter(|member| !member.lapsed && self.has_applied(member.id, version))
            .count();
        applied * 2 > self.view.members.len()
    }

    fn has_applied(&self, member: holder::Id, version: u64) -> bool {
        self.applied
            .get(&member)
            .is_some_and(|newest| *newest >= version)
    }
}

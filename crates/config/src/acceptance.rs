//! When a committed version is in force everywhere.
//!
//! Failure guarded against: an operator is told "accepted" while an entry that nobody hears of
//! still admits requests under the old version. It shows as calls served with a revoked key.
//!
//! A version is accepted once every member that was read from the table service after the commit
//! says that it has applied it, or is *out*: its lease has lapsed by our clock. A member whose row was
//! written after that read reads the head before it admits anything, so it can't have missed the
//! commit. Members that are out, and entries that have no row yet, may still admit on the word of
//! others (see [`crate::admission`]). That takes a majority of all members, each having said lately
//! that it holds nothing newer; and a member that said so keeps silent on having applied a newer
//! version until its word counts no more (see [`crate::promise`]). So while any member is out,
//! acceptance takes a majority of all members that are not out and say they have applied the version.
//! Two majorities share a member, and its word has expired.
//!
//! The majorities are counted among the members that each side last read. They are sure to meet as
//! long as no more members joined than were removed while a majority could not read the service.

use std::collections::BTreeMap;

use clock::Time;
use lease::holder;
use lease::view::View;

use crate::change::Progress;

/// Follows versions until they are accepted.
#[derive(Clone, Debug, Default)]
pub struct Acceptance {
    view: View,
    /// The newest version each member is known to have applied. Never falls for an incarnation, so
    /// old word is safe to use.
    applied: BTreeMap<holder::Id, u64>,
    /// When this entry knew of the commit of each version on its way; only later views count.
    known: BTreeMap<u64, Time>,
    accepted: u64,
}

impl Acceptance {
    /// Nothing followed yet.
    pub fn new() -> Acceptance {
        Acceptance {
            view: View::default(),
            applied: BTreeMap::new(),
            known: BTreeMap::new(),
            accepted: 0,
        }
    }

    /// Follows a version that is known to be committed.
    pub fn track(&mut self, now: Time, version: u64) {
        if version <= self.accepted {
            return;
        }
        self.known.entry(version).or_insert(now);
    }

    /// Notes a newer view; word on members that are gone from it is dropped.
    pub fn set_view(&mut self, view: View) {
        for seen in &view.members {
            let applied = self.applied.entry(seen.id).or_default();
            *applied = seen.applied.max(*applied);
        }
        self.applied
            .retain(|member, _| view.members.iter().any(|seen| seen.id == *member));
        self.view = view;
    }

    /// Notes that a member has applied a version, whoever tells it.
    pub fn set_applied(&mut self, member: holder::Id, version: u64) {
        if let Some(applied) = self.applied.get_mut(&member) {
            *applied = version.max(*applied);
        }
    }

    /// All members of the last view.
    pub fn members(&self) -> impl Iterator<Item = holder::Id> {
        self.view.members.iter().map(|seen| seen.id)
    }

    /// Whether some version waits for a newer view.
    pub fn wants_view(&self) -> bool {
        !self.known.is_empty()
    }

    /// How far a version has come.
    pub fn progress(&mut self, version: u64) -> Progress {
        if version <= self.accepted {
            return Progress::Accepted;
        }
        let Some(known) = self.known.get(&version) else {
            return Progress::Unknown;
        };
        if self.view.requested_at < *known || self.view.members.is_empty() {
            return Progress::Waiting(Vec::new());
        }
        let waiting = self.behind(version, false);
        if !waiting.is_empty() {
            return Progress::Waiting(waiting);
        }
        let out = self.behind(version, true);
        if !out.is_empty() && !self.majority_applied(version) {
            return Progress::Waiting(out);
        }
        self.accepted = version;
        self.known = self.known.split_off(&(version + 1));
        Progress::Accepted
    }

    /// Members that have not applied the version: those that are out, or those that are not.
    fn behind(&self, version: u64, out: bool) -> Vec<holder::Id> {
        self.view
            .members
            .iter()
            .filter(|seen| seen.lapsed == out && !self.has_applied(seen.id, version))
            .map(|seen| seen.id)
            .collect()
    }

    fn majority_applied(&self, version: u64) -> bool {
        let applied = self
            .view
            .members
            .iter()
            .filter(|seen| !seen.lapsed && self.has_applied(seen.id, version))
            .count();
        applied * 2 > self.view.members.len()
    }

    fn has_applied(&self, member: holder::Id, version: u64) -> bool {
        self.applied.get(&member).is_some_and(|at| *at >= version)
    }
}

//! When a committed version is in force everywhere.
//!
//! Failure guarded against: an operator is told "accepted" while an entry that nobody hears of
//! still admits requests under the old version. It shows as calls served with a revoked key.
//!
//! A version is accepted once every member that was read from the table service after the commit
//! has applied it or is *out*: its lease has lapsed by our clock. A member whose row was written
//! after that read reads the head before it admits anything, so it can't have missed the commit. A
//! member that is out may still admit on the word of its peers (see [`crate::admission`]), which
//! takes a majority of the members that each said lately that they hold nothing newer. So while any
//! member is out, acceptance also takes a majority of all members that are not out and have applied
//! the version, and then waits until words from before count no more: the two majorities share a
//! member, and what it said before it applied the version has expired by then.
//!
//! The majorities are counted among the members that each side last read. They are sure to meet as
//! long as no more members joined than were removed while a majority could not read the service.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use lease::view::View;

use crate::change::Standing;
use crate::configs::agreement::Settings;

/// Follows versions until they are accepted.
#[derive(Clone, Debug)]
pub struct Acceptance {
    view: View,
    /// The newest version each member is known to have applied. Never falls for an incarnation, so
    /// old word is safe to use.
    applied: BTreeMap<holder::Id, u64>,
    tracked: BTreeMap<u64, Tracked>,
    accepted: u64,
    settings: Settings,
}

/// A version on its way.
#[derive(Clone, Copy, Debug)]
struct Tracked {
    /// When this entry knew of the commit; only later views count.
    known: Time,
    /// Since when a majority has applied it and the rest is out.
    settled: Option<Time>,
}

impl Acceptance {
    /// Nothing followed yet.
    pub fn new(settings: Settings) -> Acceptance {
        Acceptance {
            view: View::default(),
            applied: BTreeMap::new(),
            tracked: BTreeMap::new(),
            accepted: 0,
            settings,
        }
    }

    /// Follows a version that is known to be committed.
    pub fn track(&mut self, now: Time, version: u64) {
        if version <= self.accepted {
            return;
        }
        let tracked = Tracked {
            known: now,
            settled: None,
        };
        self.tracked.entry(version).or_insert(tracked);
    }

    /// Notes a newer view; word on members that are gone from it is dropped.
    pub fn set_view(&mut self, view: View) {
        for seen in &view.members {
            let applied = self.applied.entry(seen.member).or_default();
            *applied = seen.applied.max(*applied);
        }
        self.applied
            .retain(|member, _| view.members.iter().any(|seen| seen.member == *member));
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
        self.view.members.iter().map(|seen| seen.member)
    }

    /// Whether some tracked version waits for a view that is newer than the last one.
    pub fn wants_view(&self) -> bool {
        self.tracked
            .values()
            .any(|tracked| tracked.settled.is_none())
    }

    /// How far a version has come.
    pub fn standing(&mut self, now: Time, version: u64) -> Standing {
        if version <= self.accepted {
            return Standing::Accepted;
        }
        let Some(tracked) = self.tracked.get(&version).copied() else {
            return Standing::Unknown;
        };
        if self.view.asked < tracked.known || self.view.members.is_empty() {
            return Standing::Waiting(Vec::new());
        }
        let waiting = self.behind(version, false);
        if !waiting.is_empty() {
            return Standing::Waiting(waiting);
        }
        let out = self.behind(version, true);
        if out.is_empty() {
            return self.accept(version);
        }
        if !self.majority_applied(version) {
            return Standing::Waiting(out);
        }
        let settled = *self
            .tracked
            .entry(version)
            .or_insert(tracked)
            .settled
            .get_or_insert(now);
        if now < settled + self.hold() {
            return Standing::Waiting(out);
        }
        self.accept(version)
    }

    /// When a version that only waits for time will be accepted.
    pub fn next_wake(&self) -> Option<Time> {
        self.tracked
            .values()
            .filter_map(|tracked| tracked.settled)
            .map(|settled| settled + self.hold())
            .min()
    }

    fn hold(&self) -> Span {
        self.settings.hold_among(self.view.members.len())
    }

    fn accept(&mut self, version: u64) -> Standing {
        self.accepted = self.accepted.max(version);
        self.tracked = self.tracked.split_off(&(version + 1));
        Standing::Accepted
    }

    /// Members that have not applied the version: those that are out, or those that are not.
    fn behind(&self, version: u64, out: bool) -> Vec<holder::Id> {
        self.view
            .members
            .iter()
            .filter(|seen| seen.lapsed == out && !self.has_applied(seen.member, version))
            .map(|seen| seen.member)
            .collect()
    }

    fn majority_applied(&self, version: u64) -> bool {
        let applied = self
            .view
            .members
            .iter()
            .filter(|seen| !seen.lapsed && self.has_applied(seen.member, version))
            .count();
        applied * 2 > self.view.members.len()
    }

    fn has_applied(&self, member: holder::Id, version: u64) -> bool {
        self.applied.get(&member).is_some_and(|at| *at >= version)
    }
}

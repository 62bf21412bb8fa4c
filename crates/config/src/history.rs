//! The newest snapshot and the versions that led to it, as far as they are kept.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::edit::Edit;
use crate::edit::Item;
use crate::row::Version;
use crate::snapshot::Snapshot;

/// Committed versions only; the newest never falls.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The configuration this entry holds.
    snapshot: Arc<Snapshot>,
    /// Consecutive versions, the last one being the snapshot's.
    versions: VecDeque<Version>,
    /// Most versions kept.
    kept: usize,
}

impl History {
    /// The empty configuration; keeps `kept` versions.
    pub fn new(kept: u64) -> History {
        History {
            kept: kept as usize,
            ..History::default()
        }
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The newest version's number.
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// The base of the oldest version kept: the history from here on is complete.
    pub fn floor(&self) -> u64 {
        self.version() - self.versions.len() as u64
    }

    /// Takes the next version; returns false for any other.
    pub fn push(&mut self, version: Version) -> bool {
        if version.version != self.version() + 1 {
            return false;
        }
        self.snapshot = Arc::new(self.preview(&version));
        self.versions.push_back(version);
        if self.versions.len() > self.kept {
            self.versions.pop_front();
        }
        true
    }

    /// The snapshot that a version would make of the present one.
    pub fn preview(&self, version: &Version) -> Snapshot {
        let mut next = Snapshot::clone(&self.snapshot);
        next.version = version.version;
        for edit in &version.edits {
            edit.apply(&mut next);
        }
        next
    }

    /// Takes a whole newer snapshot with the versions known before it; returns false if not newer.
    pub fn replace(&mut self, snapshot: Snapshot, before: Vec<Version>) -> bool {
        if snapshot.version <= self.version() {
            return false;
        }
        self.versions.clear();
        let mut expected = snapshot.version;
        for version in before.into_iter().rev() {
            if version.version == expected {
                expected -= 1;
                self.versions.push_front(version);
            }
        }
        self.snapshot = Arc::new(snapshot);
        true
    }

    /// The version that carries a change, if it is kept.
    pub fn find(&self, change: &str) -> Option<&Version> {
        self.versions.iter().find(|item| item.change == change)
    }

    /// Up to `limit` versions after `after`, or none if they are not all kept.
    pub fn after(&self, after: u64, limit: usize) -> Option<Vec<Version>> {
        if after < self.floor() {
            return None;
        }
        let skip = (after - self.floor()) as usize;
        Some(
            self.versions
                .iter()
                .skip(skip)
                .take(limit)
                .cloned()
                .collect(),
        )
    }

    /// What was done after `base`, the last edit of each item; none if that is not kept.
    pub fn since(&self, base: u64) -> Option<Vec<Edit>> {
        let versions = self.after(base, usize::MAX)?;
        let mut last: BTreeMap<Item, Edit> = BTreeMap::new();
        for edit in versions.into_iter().flat_map(|version| version.edits) {
            last.insert(edit.item(), edit);
        }
        Some(last.into_values().collect())
    }

    /// Whether `edits` touch an item that was changed after `base`; none if that is not kept.
    pub fn clashes(&self, base: u64, edits: &[Edit]) -> Option<bool> {
        let touched: BTreeSet<Item> = edits.iter().map(Edit::item).collect();
        let since = self.since(base)?;
        Some(since.iter().any(|edit| touched.contains(&edit.item())))
    }
}

//! The newest snapshot and the retained versions that led to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::edit::Edit;
use crate::edit::Item;
use crate::row::Version;
use crate::snapshot::Snapshot;

/// Committed versions in a bounded buffer; the newest version never falls.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Snapshot of the newest version.
    snapshot: Arc<Snapshot>,
    /// Consecutive versions, ending with the snapshot's.
    versions: VecDeque<Version>,
    /// Maximum number of retained versions.
    max_versions: usize,
}

impl History {
    /// Creates an empty configuration that retains up to `max_versions` versions.
    pub fn new(max_versions: u64) -> History {
        History {
            max_versions: max_versions as usize,
            ..History::default()
        }
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the newest version's number.
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// Returns the version before the oldest retained one; all later versions are retained.
    pub fn base_version(&self) -> u64 {
        self.version() - self.versions.len() as u64
    }

    /// Appends the next version; returns false for any other version.
    pub fn push(&mut self, version: Version) -> bool {
        if version.version != self.version() + 1 {
            return false;
        }
        self.snapshot = Arc::new(self.preview(&version));
        self.versions.push_back(version);
        if self.versions.len() > self.max_versions {
            self.versions.pop_front();
        }
        true
    }

    /// Returns the snapshot that results from applying a version to the newest one.
    pub fn preview(&self, version: &Version) -> Snapshot {
        let mut next = Snapshot::clone(&self.snapshot);
        next.version = version.version;
        for edit in &version.edits {
            edit.apply(&mut next);
        }
        next
    }

    /// Replaces the snapshot and the versions that led to it; returns false if the new one isn't newer.
    pub fn replace(&mut self, snapshot: Snapshot, previous: Vec<Version>) -> bool {
        if snapshot.version <= self.version() {
            return false;
        }
        self.versions.clear();
        let mut expected = snapshot.version;
        for version in previous.into_iter().rev() {
            if version.version == expected {
                expected -= 1;
                self.versions.push_front(version);
            }
        }
        self.snapshot = Arc::new(snapshot);
        true
    }

    /// Returns the version that carries a change, if it is retained.
    pub fn find_change(&self, change: &str) -> Option<&Version> {
        self.versions.iter().find(|item| item.change == change)
    }

    /// Returns up to `limit` versions after `after`; `None` if they are not all retained.
    pub fn versions_after(&self, after: u64, limit: usize) -> Option<Vec<Version>> {
        if after < self.base_version() {
            return None;
        }
        let skip = (after - self.base_version()) as usize;
        Some(
            self.versions
                .iter()
                .skip(skip)
                .take(limit)
                .cloned()
                .collect(),
        )
    }

    /// Returns the last edit of each item changed after `base`; `None` if `base` is not retained.
    pub fn edits_since(&self, base: u64) -> Option<Vec<Edit>> {
        let versions = self.versions_after(base, usize::MAX)?;
        let mut last_edits: BTreeMap<Item, Edit> = BTreeMap::new();
        for edit in versions.into_iter().flat_map(|version| version.edits) {
            last_edits.insert(edit.item(), edit);
        }
        Some(last_edits.into_values().collect())
    }

    /// Returns whether `edits` touch an item changed after `base`; `None` if `base` is not retained.
    pub fn has_conflict(&self, base: u64, edits: &[Edit]) -> Option<bool> {
        let touched: BTreeSet<Item> = edits.iter().map(Edit::item).collect();
        let changed = self.edits_since(base)?;
        Some(changed.iter().any(|edit| touched.contains(&edit.item())))
    }
}

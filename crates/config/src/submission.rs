//! Operators' changes that are pending at this entry.
//!
//! Guards against a commit whose answer is lost: a retry would apply the change twice, or the operator
//! would be told that nothing was done although it was. Each commit checks the head's revision, and
//! revisions never repeat, so at most one attempt of a change takes effect. An attempt whose answer was
//! lost is resolved by reading the versions: once the head has moved on and no version carries the change's
//! id, the attempt can no longer take effect.

use std::collections::BTreeMap;

use clock::Time;
use smol_str::SmolStr;
use store::call::Check;
use store::call::Transaction;

use crate::change::Answer;
use crate::change::Change;
use crate::change::Operation;
use crate::configs::agreement::Settings;
use crate::history::History;
use crate::row;
use crate::row::Head;
use crate::row::Version;
use crate::snapshot::Snapshot;

/// Validates a snapshot; returns the reason if it is invalid.
pub type Validate = fn(&Snapshot) -> Result<(), SmolStr>;

/// Head row as last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownHead {
    /// Value of the row.
    pub head: Head,
    /// Revision of the row; `None` if there is no row.
    pub revision: Option<u64>,
}

/// All pending changes.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    pending: BTreeMap<Operation, Pending>,
    /// Operation whose commit is in flight.
    in_flight: Option<Operation>,
}

/// One pending change.
#[derive(Clone, Debug)]
struct Pending {
    change: Change,
    deadline: Time,
    retry_at: Time,
    /// Version as which it was committed.
    committed_as: Option<u64>,
    /// Head revision checked by an attempt that may still take effect.
    uncertain_revision: Option<Option<u64>>,
}

/// One attempt to commit a change.
#[derive(Clone, Debug)]
pub struct Commit {
    /// Version that it creates.
    pub version: Version,
    /// Head that it writes.
    pub head: Head,
    /// Head revision that it checks; `None` if there must be no head row.
    pub expected_revision: Option<u64>,
}

/// Next step of a pending change.
pub enum Attempt {
    /// Send this transaction.
    Commit(Transaction, Box<Commit>),
    /// The change is already committed as this version.
    AlreadyCommitted(u64),
    /// The change is refused with this answer.
    Answer(Answer),
}

impl Submissions {
    /// Returns the number of pending changes.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Adds a change that may be attempted immediately.
    pub fn insert(&mut self, operation: Operation, change: Change, now: Time, deadline: Time) {
        let pending = Pending {
            change,
            deadline,
            retry_at: now,
            committed_as: None,
            uncertain_revision: None,
        };
        self.pending.insert(operation, pending);
    }

    /// Returns the operation to attempt now, if no commit is in flight.
    pub fn ready(&self, now: Time) -> Option<Operation> {
        if self.in_flight.is_some() {
            return None;
        }
        self.pending
            .iter()
            .find(|(_, item)| item.committed_as.is_none() && item.retry_at <= now)
            .map(|(operation, _)| *operation)
    }

    /// Returns operations that are committed and not yet answered, with their versions.
    pub fn committed(&self) -> Vec<(Operation, u64)> {
        self.pending
            .iter()
            .filter_map(|(operation, item)| Some((*operation, item.committed_as?)))
            .collect()
    }

    /// Returns operations whose deadline has passed.
    pub fn overdue(&self, now: Time) -> Vec<Operation> {
        self.pending
            .iter()
            .filter(|(_, item)| item.deadline <= now)
            .map(|(operation, _)| *operation)
            .collect()
    }

    /// Removes a change that was not accepted in time and returns its answer.
    pub fn abandon(&mut self, operation: Operation) -> Answer {
        let is_in_flight = self.in_flight == Some(operation);
        match self.pending.remove(&operation) {
            Some(item)
                if is_in_flight
                    || item.uncertain_revision.is_some()
                    || item.committed_as.is_some() =>
            {
                Answer::Unknown
            }
            _ => Answer::Unavailable,
        }
    }

    /// Removes an answered change.
    pub fn remove(&mut self, operation: Operation) {
        self.pending.remove(&operation);
    }

    /// Prepares the next attempt of a change. The history must reach up to the known head.
    pub fn prepare_attempt(
        &mut self,
        operation: Operation,
        known: KnownHead,
        history: &History,
        settings: &Settings,
        validate: Validate,
    ) -> Option<Attempt> {
        let item = self.pending.get_mut(&operation)?;
        if let Some(version) = history.find_change(&item.change.id) {
            if version.edits != item.change.edits {
                let version = version.version;
                return Some(Attempt::Answer(Answer::Reused { version }));
            }
            item.committed_as = Some(version.version);
            return Some(Attempt::AlreadyCommitted(version.version));
        }
        if item
            .uncertain_revision
            .is_some_and(|revision| revision != known.revision)
        {
            item.uncertain_revision = None;
        }
        let version = match next_version(&item.change, history, validate) {
            Ok(version) => version,
            Err(answer) => return Some(Attempt::Answer(answer)),
        };
        self.in_flight = Some(operation);
        let commit = Commit {
            head: head_after(known, version.version, settings),
            expected_revision: known.revision,
            version,
        };
        let transaction = commit_transaction(&commit, history, settings);
        Some(Attempt::Commit(transaction, Box::new(commit)))
    }

    /// Records that the commit in flight took effect.
    pub fn record_commit(&mut self, version: u64) {
        let item = self
            .in_flight
            .take()
            .and_then(|id| self.pending.get_mut(&id));
        if let Some(item) = item {
            item.committed_as = Some(version);
        }
    }

    /// Records that the commit in flight failed, with the revision it checked if it may still take effect.
    pub fn record_failure(&mut self, retry_at: Time, uncertain_revision: Option<Option<u64>>) {
        let item = self
            .in_flight
            .take()
            .and_then(|id| self.pending.get_mut(&id));
        if let Some(item) = item {
            item.retry_at = retry_at;
            item.uncertain_revision = uncertain_revision.or(item.uncertain_revision);
        }
    }

    /// Returns when a deadline or a retry is due.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let deadlines = self.pending.values().map(|item| item.deadline);
        let retries = self
            .pending
            .values()
            .filter(|item| item.committed_as.is_none() && item.retry_at > now)
            .map(|item| item.retry_at);
        deadlines.chain(retries).min()
    }
}

/// Returns the version that a change would create, or the answer that refuses it.
fn next_version(change: &Change, history: &History, validate: Validate) -> Result<Version, Answer> {
    let version = history.version();
    if change.edits.is_empty() || change.base > version {
        let message = SmolStr::from("no edits, or a base that does not exist yet");
        return Err(Answer::Invalid { message });
    }
    if history.has_conflict(change.base, &change.edits) != Some(false) {
        let difference = history.edits_since(change.base);
        return Err(Answer::Conflict {
            version,
            difference,
        });
    }
    let next = Version {
        version: version + 1,
        change: change.id.clone(),
        edits: change.edits.clone(),
    };
    match validate(&history.preview(&next)) {
        Ok(()) => Ok(next),
        Err(message) => Err(Answer::Invalid { message }),
    }
}

/// Returns the head that names `version`.
fn head_after(known: KnownHead, version: u64, settings: &Settings) -> Head {
    let checkpoint = if version.is_multiple_of(settings.checkpoint_interval) {
        version
    } else {
        known.head.checkpoint
    };
    Head {
        version,
        checkpoint,
    }
}

/// Writes the head, the version and at checkpoints a snapshot, and deletes the version that expires.
fn commit_transaction(commit: &Commit, history: &History, settings: &Settings) -> Transaction {
    let next = &commit.version;
    let mut writes = vec![
        row::write(row::head(), &commit.head),
        row::write(row::version(next.version), next),
    ];
    if commit.head.checkpoint == next.version {
        writes.push(row::write(row::checkpoint(), &history.preview(next)));
    }
    if next.version > settings.retained_versions {
        writes.push(row::write(
            row::version(next.version - settings.retained_versions),
            &(),
        ));
    }
    Transaction {
        token: next.change.clone(),
        checks: vec![Check {
            address: row::head(),
            revision: commit.expected_revision,
        }],
        writes,
    }
}

//! Operators' changes that wait at this entry.
//!
//! Failure guarded against: the answer to a commit is lost, and a repeat does the change twice or an
//! operator is told "nothing was done" of a change that was. Each commit checks the head's revision,
//! and no revision comes twice, so of all attempts of one change at most one takes effect. An
//! attempt whose answer was lost is settled by the versions themselves: once the head has moved on
//! and no version carries the change's id, the attempt can't take effect any more.

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

/// Says why a snapshot is not valid, if it isn't.
pub type Validate = fn(&Snapshot) -> Result<(), SmolStr>;

/// The head as it was last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// What it names.
    pub head: Head,
    /// The row's revision; none if there is no row.
    pub revision: Option<u64>,
}

/// All changes that wait.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    waiting: BTreeMap<Operation, Waiting>,
    /// The operation whose commit is on its way.
    sent: Option<Operation>,
}

/// One change that waits.
#[derive(Clone, Debug)]
struct Waiting {
    change: Change,
    deadline: Time,
    not_before: Time,
    /// The version it was committed as.
    committed: Option<u64>,
    /// Whether an attempt may have taken effect, and the head's revision it checked.
    uncertain: Option<Option<u64>>,
}

/// One attempt to commit a change.
#[derive(Clone, Debug)]
pub struct Commit {
    /// The version it makes.
    pub version: Version,
    /// The head it writes.
    pub head: Head,
    /// The head's revision that it checks.
    pub checked: Option<u64>,
}

/// What the next attempt of a change comes to.
pub enum Attempt {
    /// Send this transaction.
    Send(Transaction, Box<Commit>),
    /// The change is in this version already.
    Done(u64),
    /// Final answer.
    Answer(Answer),
}

impl Submissions {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a change.
    pub fn insert(&mut self, operation: Operation, change: Change, now: Time, deadline: Time) {
        let waiting = Waiting {
            change,
            deadline,
            not_before: now,
            committed: None,
            uncertain: None,
        };
        self.waiting.insert(operation, waiting);
    }

    /// The change to attempt now, if none is on its way.
    pub fn ready(&self, now: Time) -> Option<Operation> {
        if self.sent.is_some() {
            return None;
        }
        self.waiting
            .iter()
            .find(|(_, item)| item.committed.is_none() && item.not_before <= now)
            .map(|(operation, _)| *operation)
    }

    /// Changes that are committed and not yet answered.
    pub fn committed(&self) -> Vec<(Operation, u64)> {
        self.waiting
            .iter()
            .filter_map(|(operation, item)| Some((*operation, item.committed?)))
            .collect()
    }

    /// Changes whose caller's time is up.
    pub fn overdue(&self, now: Time) -> Vec<Operation> {
        self.waiting
            .iter()
            .filter(|(_, item)| item.deadline <= now)
            .map(|(operation, _)| *operation)
            .collect()
    }

    /// What to tell the caller of a change that was not committed in time.
    pub fn give_up(&mut self, operation: Operation) -> Answer {
        let sent = self.sent == Some(operation);
        match self.waiting.remove(&operation) {
            Some(item) if sent || item.uncertain.is_some() || item.committed.is_some() => {
                Answer::Unknown
            }
            _ => Answer::Unavailable,
        }
    }

    /// Forgets an answered change.
    pub fn remove(&mut self, operation: Operation) {
        self.waiting.remove(&operation);
    }

    /// Prepares the next attempt; the history reaches up to the known head.
    pub fn attempt(
        &mut self,
        operation: Operation,
        known: Known,
        history: &History,
        settings: &Settings,
        validate: Validate,
    ) -> Option<Attempt> {
        let item = self.waiting.get_mut(&operation)?;
        if let Some(version) = history.find(&item.change.id) {
            if version.edits != item.change.edits {
                let version = version.version;
                return Some(Attempt::Answer(Answer::Reused { version }));
            }
            item.committed = Some(version.version);
            return Some(Attempt::Done(version.version));
        }
        if item.uncertain.is_some_and(|at| at != known.revision) {
            item.uncertain = None;
        }
        let version = match prepare(&item.change, history, validate) {
            Ok(version) => version,
            Err(answer) => return Some(Attempt::Answer(answer)),
        };
        self.sent = Some(operation);
        let commit = Commit {
            head: head_after(known, version.version, settings),
            checked: known.revision,
            version,
        };
        let transaction = transaction(&commit, history, settings);
        Some(Attempt::Send(transaction, Box::new(commit)))
    }

    /// The attempt took effect.
    pub fn sent_committed(&mut self, version: u64) {
        let item = self.sent.take().and_then(|id| self.waiting.get_mut(&id));
        if let Some(item) = item {
            item.committed = Some(version);
        }
    }

    /// The attempt did not take effect, or (`uncertain`) may have, having checked this revision.
    pub fn sent_failed(&mut self, retry_at: Time, uncertain: Option<Option<u64>>) {
        let item = self.sent.take().and_then(|id| self.waiting.get_mut(&id));
        if let Some(item) = item {
            item.not_before = retry_at;
            item.uncertain = uncertain.or(item.uncertain);
        }
    }

    /// When something is due here.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let deadlines = self.waiting.values().map(|item| item.deadline);
        let retries = self
            .waiting
            .values()
            .filter(|item| item.committed.is_none() && item.not_before > now)
            .map(|item| item.not_before);
        deadlines.chain(retries).min()
    }
}

/// The version that a change would make, or why it can't.
fn prepare(change: &Change, history: &History, validate: Validate) -> Result<Version, Answer> {
    let version = history.version();
    if change.edits.is_empty() || change.base > version {
        let message = SmolStr::from("no edits, or a base that does not exist yet");
        return Err(Answer::Invalid { message });
    }
    if history.clashes(change.base, &change.edits) != Some(false) {
        let difference = history.since(change.base);
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

/// The head that names `version`.
fn head_after(known: Known, version: u64, settings: &Settings) -> Head {
    let checkpoint = if version.is_multiple_of(settings.checkpoint_every) {
        version
    } else {
        known.head.checkpoint
    };
    Head {
        version,
        checkpoint,
    }
}

/// Writes head and version together, now and then the snapshot, and deletes what is too old.
fn transaction(commit: &Commit, history: &History, settings: &Settings) -> Transaction {
    let next = &commit.version;
    let mut writes = vec![
        row::write(row::head(), &commit.head),
        row::write(row::version(next.version), next),
    ];
    if commit.head.checkpoint == next.version {
        writes.push(row::write(row::checkpoint(), &history.preview(next)));
    }
    if next.version > settings.kept {
        writes.push(row::write(row::version(next.version - settings.kept), &()));
    }
    Transaction {
        token: next.change.clone(),
        checks: vec![Check {
            at: row::head(),
            revision: commit.checked,
        }],
        writes,
    }
}

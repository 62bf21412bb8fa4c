//! Which news to put into the next digest.
//!
//! Each subject is told a bounded number of times, the least told first, and then rests; what room
//! is left goes round all subjects in turn, so that whoever missed a subject while it was new learns
//! it later. With `n` members, a subject that everyone tells about `log2(n)` times reaches all but a
//! handful [Demers et al. 1987, epidemic algorithms]; the turn reaches those.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use lease::holder;
use smol_str::SmolStr;

use crate::digest::Topic;

/// Tellings beyond the logarithm, for peers that are frozen or gone when they are told.
const EXTRA_SENDS: u32 = 8;

/// What a piece of news is on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A member's record.
    Member(holder::Id),
    /// An item.
    Item(Topic, SmolStr),
}

/// What kind of subject it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A member's record.
    Member,
    /// An item.
    Item,
}

impl Subject {
    /// Its kind.
    pub fn kind(&self) -> Kind {
        match self {
            Subject::Member(_) => Kind::Member,
            Subject::Item(..) => Kind::Item,
        }
    }
}

/// How often each subject was told.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    /// All subjects.
    known: BTreeSet<Subject>,
    /// Subjects that have tellings left, and how often they were told.
    hot: BTreeMap<Subject, u32>,
    /// Where the turn stands.
    cursor: Option<Subject>,
}

impl Rumors {
    /// There is a new version of a subject.
    pub fn add(&mut self, subject: Subject) {
        self.known.insert(subject.clone());
        self.hot.insert(subject, 0);
    }

    /// A subject is known to all or doesn't hurry: it only takes its turn.
    pub fn add_cold(&mut self, subject: Subject) {
        self.known.insert(subject);
    }

    /// A subject is gone.
    pub fn remove(&mut self, subject: &Subject) {
        self.known.remove(subject);
        self.hot.remove(subject);
    }

    /// Whether something has tellings left.
    pub fn is_hot(&self) -> bool {
        !self.hot.is_empty()
    }

    /// Up to `limit` subjects of one kind with tellings left, the least told first.
    pub fn hottest(&self, kind: Kind, limit: usize) -> Vec<Subject> {
        let mut subjects: Vec<(&Subject, u32)> = self
            .hot
            .iter()
            .filter(|(subject, _)| subject.kind() == kind)
            .map(|(subject, sent)| (subject, *sent))
            .collect();
        subjects.sort_by_key(|(_, sent)| *sent);
        subjects
            .into_iter()
            .take(limit)
            .map(|(subject, _)| subject.clone())
            .collect()
    }

    /// Notes that a subject was told to one of `members`.
    pub fn record_sent(&mut self, subject: &Subject, members: usize) {
        let Some(sent) = self.hot.get_mut(subject) else {
            return;
        };
        *sent += 1;
        if *sent >= members.max(2).ilog2() + EXTRA_SENDS {
            self.hot.remove(subject);
        }
    }

    /// The next subject in turn.
    pub fn next_round_robin(&mut self) -> Option<Subject> {
        let after = match &self.cursor {
            Some(last) => Bound::Excluded(last.clone()),
            None => Bound::Unbounded,
        };
        let next = self
            .known
            .range((after, Bound::Unbounded))
            .next()
            .or_else(|| self.known.first())
            .cloned();
        self.cursor = next.clone();
        next
    }

    /// How many subjects there are.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

//! Chooses the subjects of the next digest by rumor mongering.
//!
//! A new subject is hot and sent a bounded number of times, the least sent first. The remaining space
//! goes to all subjects in round-robin order, so that a peer that missed a subject while it was hot
//! receives it later. Among `n` members, a subject that each sends about `log2(n)` times reaches all but
//! a few [Demers et al. 1987, epidemic algorithms]; the round-robin order reaches those.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use lease::holder;
use smol_str::SmolStr;

use crate::digest::Topic;

/// Sends beyond the logarithm, to make up for peers that are frozen or gone.
const EXTRA_SENDS: u32 = 8;

/// The subject of a piece of gossip.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A member's record.
    Member(holder::Id),
    /// An item.
    Item(Topic, SmolStr),
}

/// The kind of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A member's record.
    Member,
    /// An item.
    Item,
}

impl Subject {
    /// Returns the subject's kind.
    pub fn kind(&self) -> Kind {
        match self {
            Subject::Member(_) => Kind::Member,
            Subject::Item(..) => Kind::Item,
        }
    }
}

/// All subjects, and how often hot ones were sent.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    /// All subjects.
    subjects: BTreeSet<Subject>,
    /// Hot subjects, with how often they were sent.
    hot: BTreeMap<Subject, u32>,
    /// The last subject sent in round-robin order.
    cursor: Option<Subject>,
}

impl Rumors {
    /// Adds a new version of a subject as hot.
    pub fn add(&mut self, subject: Subject) {
        self.subjects.insert(subject.clone());
        self.hot.insert(subject, 0);
    }

    /// Adds a subject that is known to all or not urgent; it is sent only in round-robin order.
    pub fn add_cold(&mut self, subject: Subject) {
        self.subjects.insert(subject);
    }

    /// Removes a subject.
    pub fn remove(&mut self, subject: &Subject) {
        self.subjects.remove(subject);
        self.hot.remove(subject);
    }

    /// Returns whether any subject is hot.
    pub fn is_hot(&self) -> bool {
        !self.hot.is_empty()
    }

    /// Returns up to `limit` hot subjects of one kind, the least sent first.
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

    /// Records that a subject was sent to one of `members`; after enough sends it is no longer hot.
    pub fn record_sent(&mut self, subject: &Subject, members: usize) {
        let Some(sent) = self.hot.get_mut(subject) else {
            return;
        };
        *sent += 1;
        if *sent >= members.max(2).ilog2() + EXTRA_SENDS {
            self.hot.remove(subject);
        }
    }

    /// Returns the next subject in round-robin order.
    pub fn next_round_robin(&mut self) -> Option<Subject> {
        let after = match &self.cursor {
            Some(last) => Bound::Excluded(last.clone()),
            None => Bound::Unbounded,
        };
        let next = self
            .subjects
            .range((after, Bound::Unbounded))
            .next()
            .or_else(|| self.subjects.first())
            .cloned();
        self.cursor = next.clone();
        next
    }

    /// Returns the number of subjects.
    pub fn len(&self) -> usize {
        self.subjects.len()
    }

    /// Returns whether there are no subjects.
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }
}

//! Whether this entry may admit requests under the version it holds.
//!
//! Failure guarded against: an entry that was frozen, or cut off from the table service, serves
//! under a version that was replaced while nobody waited for it any more.
//!
//! There are two grounds to admit. Either this entry's lease is valid, and it has read the head
//! since it gained the lease: then every acceptance waits for it. Or a majority of all members has
//! said, in answer to questions sent lately, that they hold nothing newer: then no acceptance can
//! have found a majority (see [`crate::acceptance`]). The second ground keeps the
//! entries serving while the table service is down, and lets an entry start in that time with the
//! newest version that a majority knows, which an accepted one can't exceed. A question carries the
//! asker's own time and its answer gives it back, so an answer that a frozen peer or network holds
//! back is worth nothing when it comes.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use lease::holder;
use lease::holding::Holding;

use crate::configs::agreement::Settings;

/// The grounds that this entry has.
#[derive(Clone, Debug)]
pub struct Admission {
    me: holder::Id,
    lease: Holding,
    /// The lease during which the head was read, sent after the lease was gained, and applied.
    confirmed: Option<u64>,
    voters: Vec<holder::Id>,
    word: BTreeMap<holder::Id, Word>,
    /// Whether the last read of the head failed.
    failing: bool,
    settings: Settings,
}

/// What a member said of its version.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// When we asked.
    asked: Time,
    /// What it holds.
    version: u64,
}

impl Admission {
    /// No grounds yet.
    pub fn new(me: holder::Id, settings: Settings) -> Admission {
        Admission {
            me,
            lease: Holding::default(),
            confirmed: None,
            voters: Vec::new(),
            word: BTreeMap::new(),
            failing: false,
            settings,
        }
    }

    /// Whether requests may be admitted under version `applied` now.
    pub fn admits(&self, now: Time, applied: u64) -> bool {
        self.leased(now) || self.majority(now, applied)
    }

    /// Whether the lease is valid and the head was read since it was gained.
    pub fn leased(&self, now: Time) -> bool {
        self.lease.is_valid(now) && self.confirmed == Some(self.lease.epoch)
    }

    /// Whether members should be asked: the service fails us, and the lease is near its end or over.
    ///
    /// Who asks makes the others slower to say that they have applied a version; so nobody does only
    /// because it has just started or was paused.
    pub fn wants_word(&self, now: Time) -> bool {
        if !self.failing {
            return false;
        }
        !self.leased(now) || self.lease.valid_until < now + self.word_counts()
    }

    /// When members are to be asked, given when the next round is due.
    pub fn next_wake(&self, now: Time, next_round: Time) -> Option<Time> {
        if self.wants_word(now) {
            return Some(next_round);
        }
        let until_reserve = self
            .lease
            .valid_until
            .since(Time::ZERO + self.word_counts());
        self.failing.then_some(Time::ZERO + until_reserve)
    }

    /// Whether the last read of the head failed.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// The lease as it stands.
    pub fn lease(&self) -> Holding {
        self.lease
    }

    /// Notes a gained or renewed lease.
    pub fn set_lease(&mut self, lease: Holding) {
        self.lease = lease;
    }

    /// The head was read, by a call sent in this epoch, and what it names was applied.
    pub fn confirm(&mut self, epoch: u64) {
        self.confirmed = self.confirmed.max(Some(epoch));
    }

    /// All members, as this entry read them from the table service.
    pub fn set_voters(&mut self, voters: Vec<holder::Id>) {
        self.word.retain(|member, _| voters.contains(member));
        self.voters = voters;
    }

    /// All members that count.
    pub fn voters(&self) -> &[holder::Id] {
        &self.voters
    }

    /// A member answered the question that was sent at `asked`.
    pub fn hear(&mut self, member: holder::Id, asked: Time, version: u64) {
        if !self.voters.contains(&member) {
            return;
        }
        let word = self.word.entry(member).or_insert(Word { asked, version });
        word.asked = word.asked.max(asked);
        word.version = word.version.max(version);
    }

    /// How long a member's word counts.
    pub fn word_counts(&self) -> Span {
        self.settings.word_among(self.voters.len())
    }

    /// Whether a majority of members held nothing newer than `applied` in a word that still counts.
    fn majority(&self, now: Time, applied: u64) -> bool {
        let agreeing = self
            .voters
            .iter()
            .filter(|member| **member == self.me || self.agrees(**member, now, applied))
            .count();
        agreeing * 2 > self.voters.len()
    }

    fn agrees(&self, member: holder::Id, now: Time, applied: u64) -> bool {
        self.word
            .get(&member)
            .is_some_and(|word| now < word.asked + self.word_counts() && word.version <= applied)
    }
}

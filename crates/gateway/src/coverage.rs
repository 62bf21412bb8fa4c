//! For how long before now an entry knows which software versions of a service have served.
//!
//! An entry that has just started knows what serves, but not what served before. That it knows of no other version proves
//! nothing about that time, unless an entry that ran then states the same.

use clock::Span;
use clock::Time;

/// Longest time for which messages are on their way.
const MESSAGE_DELAY: Span = Span::from_seconds(2);

/// The time that one entry's knowledge of a service's versions covers.
#[derive(Debug)]
pub(crate) struct Coverage {
    /// Since when this entry has followed the list of servers.
    since: Time,
    /// Time before that in which nothing else can have served, since the system started then.
    before: Span,
    /// Time before `since` that statements of others cover.
    stated: Span,
    /// Time before which a statement may have been made before `since`.
    accepts_from: Time,
}

impl Coverage {
    /// Creates the coverage of an entry that follows the list of servers from now on.
    pub fn new(now: Time) -> Coverage {
        Coverage {
            since: now,
            before: Span::ZERO,
            stated: Span::ZERO,
            accepts_from: now,
        }
    }

    /// Creates the coverage of an entry that was paused until now, and finds messages which came meanwhile.
    pub fn resumed(now: Time) -> Coverage {
        Coverage {
            accepts_from: now + MESSAGE_DELAY,
            ..Coverage::new(now)
        }
    }

    /// Records that nothing else served in a time before now.
    pub fn extend(&mut self, now: Time, span: Span) {
        self.before = self.before.max(span - now.since(self.since));
    }

    /// Records that another entry stated the versions of a time before now.
    pub fn record_stated(&mut self, now: Time, span: Span) {
        if now < self.accepts_from {
            return;
        }
        self.stated = self.stated.max(span - now.since(self.since));
    }

    /// Returns the time before now that this entry covers without statements of others. Those aren't passed on, since their
    /// age would be lost on the way.
    pub fn own_span(&self, now: Time) -> Span {
        now.since(self.since) + self.before
    }

    /// Returns the time before now that is covered.
    pub fn span(&self, now: Time) -> Span {
        now.since(self.since) + self.before.max(self.stated)
    }
}

//! For how long before now an entry knows which software versions of a service have served.
//!
//! An entry that has just started knows what serves, but not what served before. That it knows of no other version proves
//! nothing about that time, unless an entry that was there says so.

use clock::Span;
use clock::Time;

/// The time that one entry's knowledge of a service's versions covers.
#[derive(Debug)]
pub(crate) struct Coverage {
    /// Since when this entry has followed the list of servers.
    since: Time,
    /// Time before that, as far as others, or the start of the system, cover it.
    before: Span,
}

impl Coverage {
    /// Creates the coverage of an entry that follows the list of servers from now on.
    pub fn new(now: Time) -> Coverage {
        Coverage {
            since: now,
            before: Span::ZERO,
        }
    }

    /// Extends the coverage to a time before now.
    pub fn extend(&mut self, now: Time, span: Span) {
        self.before = self.before.max(span - now.since(self.since));
    }

    /// Returns the time before now that is covered.
    pub fn span(&self, now: Time) -> Span {
        now.since(self.since) + self.before
    }
}

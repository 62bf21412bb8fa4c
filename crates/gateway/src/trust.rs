//! For how long an entry may go by the default version that it has read.
//!
//! A default is replaced only after its replicas have been gone for [`crate::versions::REPLACE_AFTER`]. So the row that
//! states it still holds for less than that after any moment at which the list had replicas of it, provided that there was
//! such a moment before the read: otherwise the replacement may be about to happen. Once a row no longer holds for certain,
//! replicas that come back don't change that, and it must be read again.

use clock::Span;
use clock::Time;

/// Time for which replicas on the list show that nobody has replaced the default. Invariant: shorter than
/// [`crate::versions::REPLACE_AFTER`] by more than the lists of entries lag.
const HOLD_TIME: Span = Span::from_seconds(40);

/// The time for which a row that was read still holds.
#[derive(Debug, Default)]
pub(crate) struct Trust {
    /// When the row may have been replaced.
    until: Time,
    /// Whether the list has had replicas only later than that, so that the row must be read again.
    must_reread: bool,
}

impl Trust {
    /// Creates the trust in a row that may be replaced at any moment.
    pub fn none() -> Trust {
        Trust::default()
    }

    /// Creates the trust in a row that was read when the list had had replicas of its version at a time, if ever.
    pub fn new(listed: Option<Time>) -> Trust {
        Trust {
            until: listed.map_or(Time::ZERO, |at| at + HOLD_TIME),
            must_reread: false,
        }
    }

    /// Records that the list had replicas of the version at a time.
    pub fn record_listed(&mut self, at: Time) {
        if at < self.until {
            self.until = self.until.max(at + HOLD_TIME);
        } else {
            self.must_reread = true;
        }
    }

    /// Records that the row may have been replaced.
    pub fn end(&mut self) {
        self.until = Time::ZERO;
        self.must_reread = true;
    }

    /// Returns whether the row held `span` ago.
    pub fn held(&self, now: Time, span: Span) -> bool {
        now < self.until + span
    }

    /// Returns whether the row must be read again to hold.
    pub fn must_reread(&self) -> bool {
        self.must_reread
    }
}

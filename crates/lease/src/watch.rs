//! Detects by the local clock that another process's leased row has lapsed.
//!
//! The holder counts its deadline from before it sent the write that produced the row; observers count from
//! when they first saw that row, which is later. So a read sent a full term plus a margin afterwards that
//! still shows the same revision proves that the holder's deadline has passed, whatever the two clocks
//! show. The margin covers clocks that run at different rates. Without such a later read nothing is
//! concluded: while the store is unavailable, no lease lapses for its observers.

use clock::Span;
use clock::Time;

/// Observations of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    revision: u64,
    /// Time at which an answer first showed this revision.
    first_seen_at: Time,
    /// Time at which the newest read that showed this revision was sent.
    last_confirmed_at: Time,
}

impl Watch {
    /// Starts watching a row that was first seen in an answer received at `received_at`.
    pub fn new(revision: u64, received_at: Time) -> Watch {
        Watch {
            revision,
            first_seen_at: received_at,
            last_confirmed_at: received_at,
        }
    }

    /// Records that a read sent at `requested_at` and answered at `received_at` showed `revision`.
    pub fn observe(&mut self, revision: u64, requested_at: Time, received_at: Time) {
        if revision > self.revision {
            *self = Watch::new(revision, received_at);
        } else if revision == self.revision {
            self.last_confirmed_at = self.last_confirmed_at.max(requested_at);
        }
    }

    /// Returns the revision last seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the holder's lease has certainly lapsed.
    pub fn has_lapsed(&self, term: Span, margin: Span) -> bool {
        self.last_confirmed_at >= self.lapses_at(term, margin)
    }

    /// Returns the time from which a read that shows the same revision proves that the lease has lapsed.
    pub fn lapses_at(&self, term: Span, margin: Span) -> Time {
        self.first_seen_at + term + margin
    }
}

//! Watches a leased row of another process by our own clock.
//!
//! The holder counts its deadline from before it sent the write that made the row as it is; we count
//! from when we first saw it so, which is later. So when a read that we sent the whole term and a
//! margin afterwards still shows the same revision, the holder's deadline has passed, whatever the
//! two clocks show. The margin covers clocks that run at uneven rates. Without such a later read
//! nothing is concluded: while the service is down, no lease of another lapses for us.

use clock::Span;
use clock::Time;

/// What we saw of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    revision: u64,
    /// When an answer first showed this revision.
    since: Time,
    /// When the newest read that showed it was sent.
    confirmed: Time,
}

impl Watch {
    /// A row seen for the first time, in an answer that came at `received`.
    pub fn new(revision: u64, received: Time) -> Watch {
        Watch {
            revision,
            since: received,
            confirmed: received,
        }
    }

    /// The row was seen again, by a read sent at `asked` and answered at `received`.
    pub fn observe(&mut self, revision: u64, asked: Time, received: Time) {
        if revision > self.revision {
            *self = Watch::new(revision, received);
        } else if revision == self.revision {
            self.confirmed = self.confirmed.max(asked);
        }
    }

    /// The revision last seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the holder's lease has lapsed for certain.
    pub fn has_lapsed(&self, term: Span, margin: Span) -> bool {
        self.confirmed >= self.lapses_at(term, margin)
    }

    /// A read that is sent from then on and shows the same revision tells that the lease has lapsed.
    pub fn lapses_at(&self, term: Span, margin: Span) -> Time {
        self.since + term + margin
    }
}

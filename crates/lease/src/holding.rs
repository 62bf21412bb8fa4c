//! A lease of our own, as it stands.

use clock::Time;

/// Which lease, and until when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Counts the times the lease was gained, from 1; a renewal in time keeps the number.
    pub epoch: u64,
    /// By our clock, counted from before the renewal was sent.
    pub valid_until: Time,
}

impl Holding {
    /// Whether it is valid; to be asked again where an effect leaves the process.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }
}

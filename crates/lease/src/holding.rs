//! The state of this process's own lease.

use clock::Time;

/// Epoch and expiry of the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Number of times the lease was gained, from 1; a timely renewal keeps it.
    pub epoch: u64,
    /// Expiry by the local clock, counted from before the renewal was sent.
    pub valid_until: Time,
}

impl Holding {
    /// Returns whether the lease is valid. Check again where an effect leaves the process.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }
}

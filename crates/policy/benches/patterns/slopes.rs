//! Time and allocations of a decision as the fleet, the accounts and the queue grow.

/// Prints the slopes.
pub fn print() {}

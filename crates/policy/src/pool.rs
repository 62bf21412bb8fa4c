//! Pools: sets of replicas that serve the same work.

/// Identifies a pool within one scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

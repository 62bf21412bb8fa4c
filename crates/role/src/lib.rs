//! Assigns roles that only a few entries need: adding up counts, reading a list, holding a lease,
//! deciding quotas.
//!
//! Load pattern: hundreds of equal entries, any of which may be killed, frozen, or cut off from the table
//! service or from peers at any moment. There is no election: each entry computes the same ranks from the
//! shared membership, so a role passes to the next entry as soon as its holder is no longer fit for it.

pub mod candidate;
pub mod roster;

//! Which entries do for all what only a few need to do: add up counts, read a list, hold a lease, decide on quotas.
//!
//! Load pattern: hundreds of equal entries, any of which is killed, frozen, or cut off from the table service or from
//! peers at any moment. Nobody appoints anyone: each entry computes the same ranks from what all know of each other, so
//! that a role falls to the next one as soon as its holder is no longer fit for it.

pub mod candidate;
pub mod roster;

//! Membership of entries: leases, failure detection, gossip, and ownership of keys.
//!
//! [`membership::Membership`] is the state machine that an entry embeds.

pub mod addresses;
mod budget;
pub mod configs;
pub mod digest;
pub mod directory;
pub mod event;
pub mod fake;
pub mod items;
pub mod membership;
pub mod registration;
pub mod rendezvous;
pub mod roster;
pub mod row;
pub mod rumors;

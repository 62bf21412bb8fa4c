//! Which entries are alive, what they tell each other, and who owns what.
//!
//! [`membership::Membership`] is the state machine that an entry embeds.

pub mod addresses;
pub mod configs;
pub mod digest;
pub mod directory;
pub mod event;
pub mod fake;
pub mod membership;
pub mod news;
mod purse;
pub mod registration;
pub mod rendezvous;
pub mod roster;
pub mod row;
pub mod rumors;

//! The reducer of one entry: consumes events and emits effects.
//!
//! [`entry::Entry::step`] reads no clock, performs no I/O and draws randomness from the seed it was
//! given, so a test can replay any history exactly. The shell in the `daemon` crate turns I/O into
//! [`event::Event`]s and performs the [`effect::Effect`]s.

pub mod arrival;
pub mod attempt;
pub mod backends;
pub mod catalog;
pub mod configs;
pub mod effect;
pub mod entry;
pub mod event;
pub mod flight;
pub mod identity;
pub mod instance;

pub use line;

mod accounting;
mod addresses;
mod arrivals;
mod attempts;
mod catch_up;
mod configuration;
mod decisions;
mod leaders;
mod members;
mod operators;
mod permits;
mod platform;
mod status;
mod stop;
mod store_calls;

//! The entry daemon: carries events into the reducer and effects out of it.
//!
//! A single-threaded event loop ([`shell`]) owns the reducer. Tasks on the same thread do the I/O:
//! one for each open request ([`flight`]), and a few that poll the platform. They send events to
//! the loop through [`link::Link`] and never access the reducer.

pub mod admin;
pub mod attempt_end;
pub mod callers;
pub mod ending;
pub mod fleet_port;
pub mod flight;
pub mod link;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod output;
pub mod peers;
pub mod plain;
pub mod platform;
pub mod run;
pub mod shell;

pub use crate::run::run;

//! The I/O shell of a gateway: turns I/O into events of [`gateway::gateway::Gateway`] and carries out its
//! effects.
//!
//! The wire formats of callers, backend servers and the platform are left to an adapter, which implements the
//! traits of [`adapter`].

pub mod adapter;
pub mod configs;
pub mod follow;
pub mod inbox;
pub mod lag;
pub mod logs;
pub mod outbox;
pub mod pool;
pub mod reach;
pub mod run;
pub mod standstill;
pub mod wake;

mod attempt;
mod body;
mod caller;
mod consumers;
mod ending;
mod events;
mod flight;
mod front;
mod meter;
mod metrics;
mod migration;
mod options;
mod payload;
mod peers;
mod ports;
mod process;
mod pulse;
mod sequence;
mod shared;
mod shell;
mod silence;
mod trace;

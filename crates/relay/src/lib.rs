//! The shell of a gateway: turns I/O into events of [`gateway::gateway::Gateway`] and carries its
//! effects out.
//!
//! What is said on the wires of callers, backend servers and the platform is left to an adapter, by the
//! traits of [`adapter`].

pub mod adapter;
pub mod configs;
pub mod follow;
pub mod inbox;
pub mod lag;
pub mod logs;
pub mod outbox;
pub mod pool;
pub mod run;
pub mod wake;

mod attempt;
mod caller;
mod consumers;
mod events;
mod flight;
mod front;
mod metrics;
mod migration;
mod options;
mod payload;
mod peers;
mod ports;
mod shared;
mod shell;

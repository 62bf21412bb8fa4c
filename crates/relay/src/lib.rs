//! The shell of a gateway: turns I/O into events of [`gateway::gateway::Gateway`] and carries its
//! effects out.
//!
//! What is said on the wires of callers, backend servers and the platform is left to an adapter, by the
//! traits of [`adapter`].

pub mod adapter;
pub mod configs;
pub mod follow;
pub mod lag;
pub mod link;
pub mod logs;
pub mod outbox;
pub mod pool;
pub mod run;
pub mod wake;

mod attempt;
mod caller;
mod events;
mod flight;
mod front;
mod metrics;
mod moving;
mod options;
mod payload;
mod peers;
mod ports;
mod readers;
mod shared;
mod shell;

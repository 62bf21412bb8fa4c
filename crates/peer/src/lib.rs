//! Messages between entries over capnp-rpc.
//!
//! A connection begins with a [`proof`] by each side that it holds the entries' common key; only then
//! does the callee give out the capability that the calls go through. Every call has a time limit,
//! and a call without an answer is told apart from one that was answered: it is lost, and what it
//! asked for may have happened.

pub mod client;
pub mod configs;
pub mod proof;
pub mod receiver;
pub mod server;

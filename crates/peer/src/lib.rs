//! Messages between entries over capnp-rpc.
//!
//! A connection begins with a [`proof`] by each side that it holds the entries' shared key; only then does
//! the callee return the capability on which calls are made. Every call has a timeout. A call without an
//! answer is an error of its own, since the peer may have carried it out.

pub mod client;
pub mod configs;
pub mod proof;
pub mod receiver;
pub mod server;
pub mod tunnel;

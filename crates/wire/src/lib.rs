//! The wire format of messages between entries.
//!
//! The schema is `schema/peer.capnp`. With capnp an older entry ignores fields that it doesn't know, and a
//! newer one reads defaults for missing fields, so that two releases can run side by side.

pub mod digest;
pub mod scheduler;

/// Generated from `schema/peer.capnp` by `cargo run -p wire --example draw`.
#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod peer_capnp;

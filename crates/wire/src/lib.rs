//! What entries say to each other, in bytes.
//!
//! The schema is `schema/peer.capnp`. Its encoding lets an older entry pass over what it doesn't know
//! and gives a newer one defaults for what wasn't said, so that two releases run side by side.

pub mod digest;
pub mod scheduler;

/// Drawn from `schema/peer.capnp` by `cargo run -p wire --example draw`.
#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod peer_capnp;

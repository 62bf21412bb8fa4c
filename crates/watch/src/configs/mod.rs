//! Settings of this crate's parts and their defaults.

pub mod watch;

//! Settings of this crate.

pub mod entry;

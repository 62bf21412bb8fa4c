//! Settings of this crate.

pub mod limit;

//! Settings of this crate.

pub mod lead;

//! Settings of this crate.

pub mod limits;

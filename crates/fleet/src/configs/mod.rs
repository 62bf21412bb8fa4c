//! Settings of this crate.

pub mod leader;

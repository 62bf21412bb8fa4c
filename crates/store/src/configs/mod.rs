//! Settings of this crate's modules and their defaults.

pub mod batch;
pub mod budget;

//! Settings of this crate's parts and their defaults.

pub mod claim;
pub mod order;

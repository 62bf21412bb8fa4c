//! Settings of this crate's modules and their defaults.

pub mod gateway;

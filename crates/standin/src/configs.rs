//! Settings of the parts, with their defaults.

pub mod engine;
pub mod service;

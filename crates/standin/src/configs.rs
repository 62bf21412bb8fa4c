//! Settings of the stand-in components, with their defaults.

pub mod engine;
pub mod service;

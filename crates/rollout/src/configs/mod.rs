//! Settings, one file a module.

pub mod judge;
pub mod leader;

//! Settings, one file per module.

pub mod judge;
pub mod leader;

//! Sizes and bounds of a run.

pub mod bounds;
pub mod size;

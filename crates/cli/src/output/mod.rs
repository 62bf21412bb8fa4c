//! Text and JSON output.

pub mod changed;
pub mod configuration;
pub mod explanation;
pub mod history;
pub mod report;
pub mod status;
pub mod table;

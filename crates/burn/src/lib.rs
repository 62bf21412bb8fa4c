//! Service-level objectives: error budget, burn rates and reports.

pub mod report;

pub use crate::report::Report;

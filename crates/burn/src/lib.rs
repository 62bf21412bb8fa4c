//! Service-level objectives: error budget, burn rates and reports.
//!
//! An entry records each ended request in a [`Ledger`]. Its [`Collector`] periodically writes the ledger's
//! [`Summary`] to the platform's store. A [`Report`] is built from the summaries of all incarnations of all
//! entries, so that it outlives each of them. The ledger's memory and the summary's size are bounded,
//! whatever callers do.
//!
//! Times in a summary are those of the entry's wall clock. Only the report uses them: if the clocks of two
//! entries differ, their requests appear in slices that are as far apart. No decision depends on them.

pub mod builder;
pub mod collector;
pub mod count;
pub mod format;
pub mod html;
pub mod latency;
pub mod ledger;
pub mod plot;
pub mod reader;
pub mod report;
pub mod sample;
pub mod series;
pub mod slices;
pub mod summary;
pub mod text;
pub mod writer;

pub use crate::collector::Collector;
pub use crate::count::Count;
pub use crate::ledger::Ledger;
pub use crate::report::Report;
pub use crate::sample::Cause;
pub use crate::sample::Outcome;
pub use crate::sample::Sample;
pub use crate::summary::Summary;

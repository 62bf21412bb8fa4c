//! Service-level objectives: error budget, burn rates and reports.
//!
//! An entry records each ended request in a [`Ledger`]. Now and then its [`Collector`] writes the
//! ledger's [`Summary`] to the platform's store; a [`Report`] is drawn from the summaries of all
//! incarnations of all entries, so that it outlives each. The ledger's memory and the summary's size
//! are bounded whatever callers do.
//!
//! Times within a summary are those of the entry's wall clock. They serve the report alone: two
//! entries whose clocks differ show their requests in slices that are that much apart, and no
//! decision hangs on it.

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

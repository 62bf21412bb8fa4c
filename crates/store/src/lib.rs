//! The platform's table service and object store: typed calls, budget and HTTP driver.
//!
//! State machines ask for a [`call::Call`] as data and are handed its [`call::Outcome`] later; only
//! [`driver::Driver`] does I/O. [`fake::Table`] stands in for the service in tests.

pub mod backoff;
pub mod call;
pub mod driver;
pub mod fake;
pub mod queue;

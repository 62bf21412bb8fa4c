//! The platform's table service and object store: typed calls, budget and HTTP driver.
//!
//! State machines ask for a [`call::Call`] as data and are handed its [`call::Outcome`] later; only
//! [`driver::Driver`] does I/O. [`throttle::Throttle`] keeps an entry within its [`budget::Budget`],
//! its share of the service; [`batch::Batch`] puts single-row inserts together. [`fake::Table`] and
//! [`queue::Queue`] serve tests.

pub mod backoff;
pub mod batch;
pub mod budget;
pub mod call;
pub mod configs;
pub mod driver;
pub mod fake;
pub mod health;
pub mod queue;
pub mod revision;
pub mod throttle;

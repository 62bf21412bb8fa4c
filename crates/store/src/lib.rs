//! The platform's table service and object store: typed calls, rate limits and HTTP driver.
//!
//! State machines emit a [`call::Call`] as data and receive its [`call::Outcome`] later; only
//! [`driver::Driver`] does I/O. [`throttle::Throttle`] queues calls until the entry's rate limit, a
//! [`budget::Budget`], permits them; [`batch::Batch`] groups single-row inserts; [`health::Health`] tracks
//! whether the service is available. [`fake::Table`] and [`queue::Queue`] are for tests.

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

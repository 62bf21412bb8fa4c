//! Leases with fencing numbers over the table service.

pub mod holder;
pub mod holding;
pub mod pulse;
pub mod view;
pub mod watch;

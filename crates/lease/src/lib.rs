//! Leases with fencing numbers over the table service.
//!
//! [`claim::Claim`] holds or waits for one lease that only one holder may have at a time;
//! [`order::Orders`] uses its fencing number to give orders to engines. [`watch`] and [`stall`] are
//! the two halves of every lease, that of those who wait and that of the holder.

pub mod claim;
pub mod configs;
pub mod holder;
pub mod holding;
pub mod order;
pub mod stall;
pub mod view;
pub mod watch;

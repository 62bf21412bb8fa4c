//! Leases with fencing numbers over the table service.
//!
//! [`claim::Claim`] competes for one exclusive lease and holds it; [`order::Orders`] sends orders to
//! engines under its fencing number. [`watch`] detects that another holder's lease has lapsed, and
//! [`stall`] that this process may have slept past its own.

pub mod claim;
pub mod configs;
pub mod holder;
pub mod holding;
pub mod order;
pub mod stall;
pub mod view;
pub mod watch;

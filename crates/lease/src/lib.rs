//! Leases with fencing numbers over the table service.

pub mod holder;

//! Settings of claims and orders.

pub mod claim;
pub mod order;

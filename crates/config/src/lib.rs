//! Deployments, accounts and how a change of them is agreed.

pub mod check;
pub mod deployment;
pub mod snapshot;

//! Deployments, accounts and how a change of them is agreed.

pub mod deployment;
pub mod snapshot;

//! Deployments and accounts, and the agreement of all entries on their configuration.
//!
//! [`agreement::Agreement`] is the state machine that an entry embeds: it commits operators' changes
//! through the table service, follows the newest version, and decides when a version is accepted and
//! whether this entry may admit requests under its version.

pub mod acceptance;
pub mod admission;
pub mod agreement;
pub mod change;
pub mod check;
pub mod configs;
pub mod deployment;
pub mod diff;
pub mod edit;
pub mod event;
mod follower;
pub mod history;
pub mod message;
pub mod promise;
pub mod row;
pub mod snapshot;
mod submission;

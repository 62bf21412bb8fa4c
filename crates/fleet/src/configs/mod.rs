//! Settings of the leader.

pub mod leader;

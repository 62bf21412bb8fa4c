//! What the operator reads of a roll-out, and what a next leader goes on from.

/// The table of statuses for the operator; the key names the service.
pub const TABLE: &str = "rollout-status";

/// The table of stages; the key names the service.
pub const STAGES: &str = "rollouts";

//! Tables that hold the state of roll-outs.

/// The table of statuses that operators read; the key is the service.
pub const TABLE: &str = "rollout-status";

/// The table of stages from which a new leader resumes; the key is the service.
pub const STAGES: &str = "rollouts";

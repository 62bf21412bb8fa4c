//! Settings of the policy modules, one file a module.

pub mod affinity;
pub mod concurrency;
pub mod health;
pub mod quarantine;
pub mod warmup;
pub mod wave;

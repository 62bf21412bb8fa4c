//! Settings of the policy modules, each with its defaults and their grounds.

pub mod admission;
pub mod brownout;
pub mod fair;
pub mod limit;
pub mod placement;
pub mod retry;
pub mod scheduler;
pub mod size;
//! Settings of the policy modules, one file a module.

pub mod affinity;
pub mod concurrency;
pub mod health;
pub mod quarantine;
pub mod warmup;
pub mod wave;

//! Settings of the policy modules, one file per module, with their defaults and the reasons for
//! them.

pub mod admission;
pub mod affinity;
pub mod brownout;
pub mod charge;
pub mod concurrency;
pub mod contention;
pub mod cover;
pub mod division;
pub mod fair;
pub mod health;
pub mod isolation;
pub mod limit;
pub mod mix;
pub mod pace;
pub mod parts;
pub mod placement;
pub mod plan;
pub mod quarantine;
pub mod quota;
pub mod retry;
pub mod scheduler;
pub mod size;
pub mod slots;
pub mod speed;
pub mod subset;
pub mod warmup;
pub mod wave;

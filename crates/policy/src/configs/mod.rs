//! Settings of the policy modules, each with its defaults and their grounds.

pub mod admission;
pub mod brownout;
pub mod fair;
pub mod limit;
pub mod placement;
pub mod retry;
pub mod scheduler;
pub mod size;

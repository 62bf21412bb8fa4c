//! Small fakes around the schedulers: replicas, callers and the news between entries, in virtual time.
//!
//! One [`world::World`] holds some entries (each with its own [`policy::Policy`]), the replicas that
//! they share and the callers. Everything follows from the seed.

// Each test and the bench uses its own part of the module.
#![allow(dead_code)]

pub mod baseline;
pub mod contestant;
pub mod engine;
pub mod load;
pub mod patterns;
pub mod policy;
pub mod tally;
pub mod world;

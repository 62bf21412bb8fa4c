//! Simulation of replicas, callers and digests between entries around the schedulers, in virtual
//! time.
//!
//! A [`world::World`] has several entries (each with its own [`policy::Policy`]), the replicas that
//! they share and the callers. Everything is deterministic for a seed.

// Each test and bench uses only part of the module.
#![allow(dead_code)]

pub mod baseline;
pub mod engine;
pub mod load;
pub mod patterns;
pub mod policy;
pub mod tally;
pub mod variant;
pub mod world;

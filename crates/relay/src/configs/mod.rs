//! Configuration types, one file for each module that has one.

pub mod outbox;

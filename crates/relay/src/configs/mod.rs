//! Settings, one file for each module that has some.

pub mod outbox;

//! The command against a real operators' port of a fake entry.

mod changes;
mod common;
mod views;

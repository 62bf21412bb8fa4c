//! The command against a real operators' port, with a small fake behind it.

mod changes;
mod common;
mod views;

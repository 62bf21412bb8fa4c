//! Small fakes of the outside systems, with faults that a test can inject.
//!
//! Each component runs as its own process (`standin platform` and so on) or, through its `spawn` function,
//! on the current `LocalSet`, so that a test or the demo can run all components in one process.

pub mod configs;
pub mod demo;
pub mod engine;
pub mod gate;
pub mod http;
pub mod local;
pub mod platform;
pub mod sample;
pub mod server;
pub mod service;
pub mod tokens;

//! Options, descriptions and defaults, one module for each section.

pub mod admin;
pub mod callers;
pub mod gateway;
pub mod identity;
pub mod leases;
pub mod logs;
pub mod machine;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod shutdown;

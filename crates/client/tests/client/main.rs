//! The client against a fake entry.

#![allow(clippy::unwrap_used)]

mod call;
mod fake;
mod stream;

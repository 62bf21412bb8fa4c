//! The client against a tiny fake entry.

#![allow(clippy::unwrap_used)]

mod call;
mod fake;
mod stream;

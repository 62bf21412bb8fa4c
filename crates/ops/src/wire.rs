//! Messages and stubs generated from `proto/dogwoodspur.proto`.
//!
//! Made by `cargo run -p ops --example regenerate`; a test compares them with the schema.

#![allow(missing_docs, clippy::all)]

include!("generated/dogwoodspur.v1.rs");

//! Messages and stubs generated from `proto/dogwoodspur.proto`.
//!
//! Regenerate with `cargo run -p ops --example regenerate`; a test compares the code with the schema.

#![allow(missing_docs, clippy::all)]

include!("generated/dogwoodspur.v1.rs");

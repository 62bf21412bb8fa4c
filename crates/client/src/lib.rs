//! Client library for callers of the system.
//!
//! A [`Client`] queries any known entry for addresses, caches the response for its time to live and
//! connects to the entries in it. [`Client::stream`] delivers each chunk of a model's answer exactly
//! once, across lost connections and redirects. [`Client::call`] calls a plain service and retries a
//! non-idempotent call only if it is known not to have run.

pub mod address;
pub mod call;
pub mod client;
pub mod configs;
pub mod error;
pub mod event;
mod message;
pub mod retry;
pub mod stream;
pub mod transport;

pub use client::Client;

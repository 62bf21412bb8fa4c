//! What callers embed to reach the system.
//!
//! A [`Client`] asks any entry that it knows for addresses, keeps the answer for its time to live and
//! connects to the entries named there. [`Client::stream`] delivers each chunk of a model's answer
//! once, through cuts and moves. [`Client::call`] calls a plain service and repeats a non-idempotent
//! call only when it is known not to have run.

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

//! The operators' gRPC contract and its server.
//!
//! The server holds no logic: it checks each message, turns it into a [`Request`] in the terms of
//! the configuration, sends that as a [`Call`] and turns the [`Reply`] or [`Fault`] back.

pub mod call;
pub mod client;
pub mod convert;
pub mod fault;
pub mod journal;
pub mod reply;
pub mod request;
pub mod server;
pub mod wire;

pub use crate::call::Call;
pub use crate::call::CallSender;
pub use crate::client::Client;
pub use crate::fault::Fault;
pub use crate::journal::Journal;
pub use crate::reply::Reply;
pub use crate::request::Request;
pub use crate::server::serve;
pub use crate::server::serve_until;

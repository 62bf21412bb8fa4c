//! HTTP server for callers: bounded reading, typed calls, responses and refusals.
//!
//! The embedder implements [`handler::Handler`]; [`server::serve`] reads each call within the limits of
//! [`configs::limit::Limit`] and passes it on as a [`call::Call`].

pub mod call;
pub mod chat;
pub mod configs;
pub mod handler;
pub mod read;
pub mod response;
pub mod server;

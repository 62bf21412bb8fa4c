//! HTTP towards callers: bounded reading, typed calls, answers and refusals.
//!
//! The embedder gives a [`handler::Handler`]; [`server::serve`] reads each call within the limits of
//! [`configs::limit::Limit`] and hands it over as a [`call::Call`].

pub mod call;
pub mod chat;
pub mod configs;
pub mod handler;
pub mod read;
pub mod response;
pub mod server;

//! The operators' gRPC API: server, client and conversions.
//!
//! The server holds no logic: it validates each message, converts it into a [`Request`], passes that
//! on as a [`Call`] and converts the [`Reply`] or [`Fault`] into a response.

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

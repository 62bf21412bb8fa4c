//! HTTP clients of model engines, plain services and the cloud.
//!
//! Every error is a [`failure::Failure`], which tells whether bytes of the request were sent.

pub mod cloud;
pub mod engine;
pub mod events;
pub mod failure;
pub mod http_client;
pub mod plain;
mod witness;

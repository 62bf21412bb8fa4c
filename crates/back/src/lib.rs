//! HTTP towards model engines, plain services and the cloud.
//!
//! Every failure is a [`failure::Failure`], which says whether bytes of the request were handed on.

pub mod cloud;
pub mod engine;
pub mod events;
pub mod failure;
pub mod http_client;
pub mod plain;

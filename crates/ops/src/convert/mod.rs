//! Conversion between protobuf messages and domain types.

pub mod configuration;
pub mod decode_reply;
pub mod decode_request;
pub mod encode_reply;
pub mod encode_request;
pub mod report;
pub mod status;

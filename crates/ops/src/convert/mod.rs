//! Between messages and the terms of the configuration.

pub mod answer;
pub mod ask;
pub mod configuration;
pub mod reply;
pub mod report;
pub mod request;
pub mod status;

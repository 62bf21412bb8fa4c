//! HTTP towards model engines, plain services and the cloud.

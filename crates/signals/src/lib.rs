//! Signals to a process, handled from its start on.
//!
//! A signal without a handler ends the process, so the handlers are installed before anything else. What a signal requests
//! is kept until the process can carry it out.

pub mod request;
pub mod runtime;

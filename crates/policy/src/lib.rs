//! Decisions under load, without I/O.

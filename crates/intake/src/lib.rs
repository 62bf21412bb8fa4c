//! Bounds what callers send and leave unread: connections, bytes and time, over a whole process.
//!
//! Callers may open many connections, send large or endless requests slowly, or not read their answers. Limits on one
//! request don't bound the process, so all requests share [`budget`]s of bytes and each port a number of
//! [`connections`]. Where room is short, those who make the least progress give way: [`receivers`] decides on bodies,
//! [`connections`] on connections; neither does any I/O. Without such callers, no limit is met.

pub mod accept;
pub mod answers;
pub mod body;
pub mod budget;
pub mod configs;
pub mod connections;
pub mod executor;
pub mod guard;
pub mod intake;
pub mod receivers;
pub mod request;
pub mod socket;
pub mod stats;

//! Follows the list of backend servers with few reads of the table service.
//!
//! Load pattern: hundreds of entries follow a list of hundreds of servers, some of which start or leave each second. Were
//! each to read it, reads would grow with entries times changes.
//!
//! One entry reads, and a few stand by in order of rank. A reader reports what changed to the hubs, and these to
//! everyone; heartbeats that change nothing are not passed on. Each report carries a digest of the whole list, by which
//! an entry knows that it has missed nothing. One that has missed something, or has no word for too long, reads for itself.
//!
//! [`watch::Watch`] is a state machine without I/O; each call takes the time as an argument.

pub mod configs;
pub mod list;
pub mod report;
pub mod server;
pub mod watch;

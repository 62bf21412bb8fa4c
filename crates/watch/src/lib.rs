//! Keeps every entry's list of backend servers up to date with few reads of the table service.
//!
//! Load pattern: hundreds of entries follow a list of hundreds of servers, some of which start or leave
//! each second. If each entry read the list itself, reads would grow with entries times changes.
//!
//! One entry reads, and a few others stand by in order of rank. A reader reports changes to the hubs, and
//! the hubs report them to all entries; heartbeats that change nothing aren't relayed. Each report
//! carries a digest of the whole list, from which a receiver knows whether it has missed a change. An
//! entry that has missed one, or receives no report for too long, reads the list itself.
//!
//! [`watch::Watch`] is a state machine without I/O; each call takes the time as an argument.

pub mod configs;
pub mod list;
pub mod report;
pub mod server;
pub mod watch;

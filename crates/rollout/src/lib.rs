//! Moves a service's traffic to replicas of another version, on an operator's order.
//!
//! Load pattern: hundreds of entries send a service's requests, and a new version may fail or be slow,
//! immediately, later, or on one route only. If each entry tried it alone, callers would get hundreds of
//! bad answers before any entry had enough evidence.
//!
//! One entry leads ([`leader::Leader`]). All entries send a small share of each route to canary replicas
//! of the new version and count its bad answers and those of the old version at the same time
//! ([`tally`]). The leader adds up the counts and applies a sequential test ([`judge`]). A bad version
//! receives no more requests. A good one receives all new requests, and once nothing runs on the old
//! replicas the roll-out is completed. An entry without a recent announcement of the leader sends no
//! requests to the canary replicas.
//!
//! Nothing here does I/O; each call takes the time as an argument.

pub mod baseline;
pub mod configs;
pub mod judge;
pub mod leader;
pub mod order;
pub mod split;
pub mod stage;
pub mod status;
pub mod tally;

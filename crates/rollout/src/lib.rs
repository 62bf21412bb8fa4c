//! Moves a service's traffic to replicas of another version, by the operator's order.
//!
//! Load pattern: hundreds of entries send a service's requests, and a new version may fail or be slow: at once, later, or on
//! one route only. Were each entry to try it by itself, callers would meet hundreds of bad answers before anyone knew.
//!
//! One entry leads ([`leader::Leader`]). All entries send a small share of each route to canary replicas of the new version and
//! count how its answers compare with those of the old one at the same time ([`tally`]); the leader adds the counts up
//! and judges them by a sequential test ([`judge`]). A version that is found bad gets nothing more. One that is found good
//! gets all new requests, and once nothing runs on the old replicas the roll-out is completed. An entry without a fresh announcement
//! of the leader sends the new version nothing.
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

//! The reducer of an entry that serves opaque requests: events in, effects out.
//!
//! The `entry` crate serves the product's own model calls; this one forwards requests unchanged, by routes
//! that an operator keeps in the platform's table service. Both combine the same parts:
//! [`policy::scheduler`] places requests on replicas, [`member::membership`] tracks the other entries,
//! [`lease::claim`] elects the holder of duties. [`gateway::Gateway::step`] reads no clock and does no I/O,
//! so tests can replay any history exactly.

pub mod arrival;
pub mod attempt;
pub mod bulletin;
pub mod catalog;
pub mod charging;
pub mod configs;
pub mod duty;
pub mod effect;
pub mod event;
pub mod gateway;
pub mod identity;
pub mod limits;
pub mod notice;
pub mod plan;
pub mod stop;
pub mod usage;
pub mod work;

mod addresses;
mod attempts;
mod configuration;
mod coverage;
mod decisions;
mod default_rows;
mod durations;
mod duties;
mod failure_detector;
mod fleet;
mod following;
mod hubs;
mod intake;
mod isolation;
mod lagging;
mod origins;
mod peers;
mod presence;
mod progress;
mod releases;
mod reports;
mod request;
mod restarts;
mod returns;
mod roles;
mod rollout_lead;
mod rollouts;
mod route_shares;
mod servers;
mod speeds;
mod store_calls;
mod streams;
mod timeouts;
mod trust;
mod versions;

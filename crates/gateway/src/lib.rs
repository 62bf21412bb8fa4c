//! The reducer of an entry that serves opaque requests: all events in, effects out.
//!
//! Where the `entry` crate speaks the product's own model calls, this one passes requests on as they
//! came, by routes that an operator keeps in the platform's table service. Both put the same parts
//! together: [`policy::scheduler`] decides who runs where, [`member::membership`] knows the other
//! entries, [`lease::claim`] the holder of duties. [`gateway::Gateway::step`] reads no clock and does no
//! I/O, so that a test replays any history exactly.

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
pub mod usage;
pub mod work;

mod addresses;
mod attempts;
mod configuration;
mod decisions;
mod duties;
mod failure_detector;
mod fleet;
mod following;
mod hubs;
mod intake;
mod lagging;
mod peers;
mod presence;
mod progress;
mod reports;
mod request;
mod roles;
mod rollout_lead;
mod rollouts;
mod servers;
mod stop;
mod store_calls;
mod timeouts;

//! The leader of a deployment: rolls out models to engines and scales the number of instances.
//!
//! Every entry runs a [`leader::Leader`] for each deployment that it should lead; a lease in the table
//! service decides which one acts. The holder sends orders under its fencing number, rolls out a change of
//! model without cutting streams, and starts the cheapest mix of instances that carries the demand through
//! the loss of any one zone.

pub mod configs;
pub mod demand;
pub mod event;
pub mod leader;
pub mod rollout;

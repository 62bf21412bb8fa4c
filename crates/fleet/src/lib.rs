//! One leaseholder a deployment: what its engines serve, and how many instances there are.
//!
//! Every entry runs a [`leader::Leader`] for the deployments that it should lead; the lease in the table
//! service decides which one acts. The holder gives orders under its fencing number, rolls a change
//! of model over the engines without cutting a stream, and buys the cheapest mix of instances that
//! carries the demand through the loss of any one zone.

pub mod configs;
pub mod demand;
pub mod event;
pub mod leader;
pub mod rollout;

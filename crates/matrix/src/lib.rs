//! Fault matrix and random histories for the entry's reducer.
//!
//! [`world::World`] runs several [`entry::entry::Entry`] reducers in virtual time against small fakes
//! of everything around them. It records what callers, backend servers, operators and the cloud observe;
//! [`check`] verifies that record against the guarantees in [`check::Point`], independently of the reducer.

pub mod cell;
pub mod check;
pub mod fault;
pub mod history;
pub mod page;
pub mod plan;
pub mod process;
pub mod run;
pub mod table;
pub mod world;

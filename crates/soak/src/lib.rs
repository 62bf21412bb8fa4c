//! Plays seeded faults against real entries of dogwoodspur and checks its promises meanwhile.
//!
//! Entries run as processes of their own. The table service, the API, replicas and callers are stand-ins in
//! this process, and every connection between any of them goes through a [`proxy`] that can delay, hold, cut
//! one way or reset it. A [`plan`] drawn from a seed orders signals, proxies and stand-ins; the [`ledger`]
//! notes what callers and replicas see, and [`promises`] says what of it must never be seen.
//!
//! Clocks: a paused process finds that time has gone on, as after a machine's sleep. The time of day isn't
//! stepped, since that takes rights that a test must not have.

pub mod caller;
pub mod cloud;
pub mod configs;
pub mod content;
pub mod faults;
pub mod ledger;
pub mod plan;
pub mod program;
pub mod promises;
pub mod proxy;
pub mod replica;
pub mod report;
pub mod run;
pub mod scene;
pub mod server;
pub mod tables;

//! Injects seeded faults into real entries of dogwoodspur and checks its promises meanwhile.
//!
//! Entries run as separate processes. The table service, the API, replicas and callers are stand-ins in this
//! process, and every connection between them goes through a [`proxy`] that can delay, hold or reset it,
//! also in one direction only. A [`plan`] drawn from a seed schedules signals and faults of proxies and
//! stand-ins; the [`ledger`] records what callers and replicas observe, and [`promises`] checks it.
//!
//! A paused process sees its clock jump forward when it resumes, as after a machine's sleep. The wall clock
//! isn't stepped, since that needs privileges that a test must not have.

pub mod caller;
pub mod causes;
pub mod cloud;
pub mod configs;
pub mod content;
pub mod crowd;
pub mod entry;
pub mod environment;
pub mod exchange;
pub mod faults;
pub mod ledger;
pub mod notices;
pub mod passages;
pub mod plan;
pub mod promises;
pub mod proxy;
pub mod replica;
pub mod report;
pub mod run;
pub mod server;
pub mod stall;
pub mod starts;
pub mod stops;
pub mod tables;

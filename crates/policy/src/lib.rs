//! Load-management policies, free of I/O: admission, queueing, shedding and placement of requests.
//!
//! [`scheduler::Scheduler`] composes the modules for one entry. It takes events and returns
//! [`decision::Decision`]s; it reads no clock and draws randomness only from its seed.

pub mod account;
pub mod admission;
pub mod affinity;
pub mod brownout;
pub mod charge;
pub mod concurrency;
pub mod configs;
pub mod contention;
pub mod cover;
pub mod decision;
pub mod demand;
pub mod division;
pub mod fair;
pub mod health;
pub mod isolation;
pub mod job;
pub mod limit;
pub mod mix;
pub mod pace;
pub mod pause;
pub mod plan;
pub mod pool;
pub mod proxy;
pub mod quarantine;
pub mod quota;
pub mod rendezvous;
pub mod replica;
pub mod retry;
pub mod scheduler;
pub mod size;
pub mod slots;
pub mod speed;
pub mod subset;
pub mod tolerance;
pub mod version;
pub mod warmup;
pub mod wave;

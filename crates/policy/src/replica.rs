//! One incarnation of a backend server, as the scheduler knows it.

use clock::Span;
use smol_str::SmolStr;

use crate::pool;
use crate::version;

/// Identifies one incarnation within one scheduler; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

/// A replica as the instance list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Globally unique name of the incarnation.
    pub incarnation: SmolStr,
    /// Pool that the replica serves.
    pub pool: pool::Key,
    /// Availability zone.
    pub zone: SmolStr,
    /// Software version.
    pub version: version::Key,
    /// Number of concurrent sequences (model engines) or calls (plain services), as far as known.
    pub slots: u32,
}

/// Load report made by the replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Running sequences.
    pub running: u32,
    /// Sequences queued inside the engine.
    pub waiting: u32,
    /// Fraction of KV memory in use, 0 to 1.
    pub kv_used: f64,
    /// Age of the report on receipt.
    pub age: Span,
}

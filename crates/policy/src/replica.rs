//! What the scheduler knows of one incarnation of a backend server.

use clock::Span;
use smol_str::SmolStr;

use crate::pool;

/// Stands for one incarnation of a replica within one scheduler; never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

/// A replica as the instance list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Incarnation, unique for ever.
    pub incarnation: SmolStr,
    /// Which pool it serves.
    pub pool: pool::Key,
    /// Its availability zone.
    pub zone: SmolStr,
    /// How much it can run at once, as far as known: model engines, sequences; plain, calls.
    pub slots: u32,
}

/// A load report of the replica itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
    /// Share of KV memory in use, 0 to 1.
    pub kv_used: f64,
    /// How old the report was when it was received.
    pub age: Span,
}

//! Platform calls that only the holder of the duties may make.

use std::collections::BTreeMap;

use clock::Time;
use policy::mix::Market;
use smol_str::SmolStr;

/// A platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reports how many requests of each account started to run in a window.
    Usage {
        /// Number of the window since 1970.
        window: u64,
        /// Requests by account.
        counts: BTreeMap<SmolStr, u64>,
    },
    /// Sets the number of replicas in one zone and market.
    Replicas {
        /// Service name.
        service: SmolStr,
        /// Availability zone.
        zone: SmolStr,
        /// Market that the replicas are bought on.
        market: Market,
        /// Number of replicas.
        count: u32,
    },
}

/// Lease under which a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Fencing token.
    pub fence: u64,
    /// Expiry by this entry's clock; a later call could collide with those of a new holder.
    pub until: Time,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform accepted it.
    Done,
    /// The platform has seen a newer fencing token.
    Fenced,
    /// The ordered capacity is unavailable at present.
    Unavailable,
    /// The platform did nothing; the call may be retried.
    Refused,
    /// No answer arrived: the call may still take effect, even much later.
    Unknown,
}

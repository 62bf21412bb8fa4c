//! Calls that only the holder of a duty makes.

use std::collections::BTreeMap;

use clock::Time;
use policy::mix::Market;
use smol_str::SmolStr;

/// One call of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// How many requests of each account began to run in a window.
    Usage {
        /// The window's number since 1970.
        window: u64,
        /// By account.
        counts: BTreeMap<SmolStr, u64>,
    },
    /// How many replicas there are to be, in one zone and of one market.
    Replicas {
        /// Of which service.
        service: SmolStr,
        /// In which availability zone.
        zone: SmolStr,
        /// How they are paid.
        market: Market,
        /// How many.
        count: u32,
    },
}

/// In whose name a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The lease's fencing number.
    pub fence: u64,
    /// When the lease ends by our clock: a call that leaves later could meet those of a new holder.
    pub until: Time,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform took it.
    Done,
    /// A newer holder was there before.
    Fenced,
    /// What was ordered isn't to be had now.
    Unavailable,
    /// The platform did nothing and may be asked again.
    Refused,
    /// No answer came: it may take effect, even much later.
    Unknown,
}

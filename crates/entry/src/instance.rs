//! Instances, cache updates and reclaim notices as the platform and engines report them.

use clock::Span;
use policy::mix::Kind;
use smol_str::SmolStr;

/// An item of the instance list, which lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Cloud id of the instance.
    pub id: SmolStr,
    /// Incarnation of the instance; never reused.
    pub incarnation: SmolStr,
    /// `host:port` of its server.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Name of its pool.
    pub pool: SmolStr,
    /// Zone, class and market of the instance.
    pub kind: Kind,
    /// Price per hour, millionths of the currency; 0 if unknown.
    pub hourly_micros: u64,
    /// Whether the list marks the instance as leaving.
    pub leaving: bool,
}

/// A change of a model engine's prefix cache; changes arrive late and with gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Sequence number, increasing with each change.
    pub sequence: u64,
    /// Hash of a prompt's prefix.
    pub prefix: u64,
    /// Whether the prefix was stored, rather than evicted.
    pub stored: bool,
}

/// A reclaim notice of the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Incarnation of the instance.
    pub incarnation: SmolStr,
    /// Time until the instance is taken away.
    pub time_left: Span,
}

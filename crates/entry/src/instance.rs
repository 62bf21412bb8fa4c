//! Instances as the platform names them.

use clock::Span;
use policy::mix::Kind;
use smol_str::SmolStr;

/// One line of the instance list. The list lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the machine, for the cloud.
    pub id: SmolStr,
    /// This life of the instance, unique for ever.
    pub incarnation: SmolStr,
    /// `host:port` of the server on it.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Pool it belongs to.
    pub pool: SmolStr,
    /// Where and as what it is had.
    pub kind: Kind,
    /// Price of an hour, millionths of the currency; 0 while it isn't known.
    pub hourly_micros: u64,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// One cache event of a model engine; they come late and with gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Rises with each event.
    pub sequence: u64,
    /// Hash of a prompt's beginning.
    pub prefix: u64,
    /// Whether it is held now.
    pub stored: bool,
}

/// The cloud's word that an instance will be taken away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Which life of which instance.
    pub incarnation: SmolStr,
    /// Time left.
    pub time_left: Span,
}

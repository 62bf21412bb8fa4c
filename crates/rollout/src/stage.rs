//! A roll-out's stage, as the leader announces it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The phase of a roll-out, which decides where new requests go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A small share goes to the new version.
    #[default]
    Canary,
    /// All go to the new version; some earlier ones still run on the old version.
    Moving,
    /// All go to the new version, and none run on the old version.
    Completed,
    /// None go to the new version.
    RolledBack,
}

impl Phase {
    /// Returns whether the phase can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }
}

/// The stage of one roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// The revision of its order.
    pub order: u64,
    /// The new version.
    pub to: SmolStr,
    /// The phase.
    pub phase: Phase,
    /// Share of each route's requests for the canary replicas; empty in other phases.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub shares: BTreeMap<SmolStr, f64>,
    /// Time since the order, milliseconds.
    pub elapsed_ms: u64,
}

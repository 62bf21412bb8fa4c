//! How far a roll-out is, as the leader says it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What becomes of new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A small share of them goes to the version.
    #[default]
    Canary,
    /// All go to the version; some still run on the old one.
    Moving,
    /// All go to the version, and nothing is left on the old one.
    Completed,
    /// None go to the version.
    RolledBack,
}

impl Phase {
    /// Whether nothing will change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }
}

/// A roll-out's stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// The order that it belongs to.
    pub order: u64,
    /// The version.
    pub to: SmolStr,
    /// What becomes of new requests.
    pub phase: Phase,
    /// Share of each route that goes to the canary replicas; only in that phase.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub shares: BTreeMap<SmolStr, f64>,
    /// Time since the order, milliseconds.
    pub elapsed_ms: u64,
}

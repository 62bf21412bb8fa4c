//! A member's leased row in the table service.

use clock::Span;
use lease::holder;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::call::Address;

/// The table of members.
pub const TABLE: &str = "members";

/// A member's stage of life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Serves callers.
    #[default]
    Live,
    /// Accepts nothing new and finishes what it has.
    Draining,
    /// Stopped for good; the row only names its ledger's heir.
    Left,
}

/// A member's identity and state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Identifies this life of the entry.
    pub id: holder::Id,
    /// Its availability zone.
    pub zone: SmolStr,
    /// The address for callers, `host:port`.
    pub address: SmolStr,
    /// The address for other entries, `host:port`.
    pub peer_address: SmolStr,
    /// Its stage of life.
    pub state: State,
    /// The configuration version that it has applied; never decreases.
    pub applied: u64,
    /// Term of the lease from each renewal, milliseconds.
    pub term_ms: u64,
    /// Increases with each renewal, so that every renewal changes the row.
    pub renewals: u64,
    /// The entry that holds its ledger after it left.
    pub heir: Option<holder::Id>,
}

impl Row {
    /// Returns the row's address in the table service. Keys begin with the zone, so that a zone can be
    /// scanned alone.
    pub fn store_address(&self) -> Address {
        Address::new(
            TABLE,
            format_smolstr!("{}{}", zone_prefix(&self.zone), self.id),
        )
    }

    /// Returns the lease's term.
    pub fn term(&self) -> Span {
        Span::from_millis(self.term_ms)
    }
}

/// Returns the common prefix of one zone's keys.
pub fn zone_prefix(zone: &str) -> SmolStr {
    format_smolstr!("{zone}/")
}

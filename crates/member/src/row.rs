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

/// Where a member stands in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Serves callers.
    #[default]
    Live,
    /// Admits nothing new; finishes what it has.
    Draining,
    /// Stopped for good; the row only names the heir of its ledger.
    Left,
}

/// Who a member is and how it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// This life of the entry.
    pub id: holder::Id,
    /// Its availability zone.
    pub zone: SmolStr,
    /// `host:port` that callers connect to.
    pub address: SmolStr,
    /// `host:port` that other entries connect to.
    pub peer_address: SmolStr,
    /// Where it stands.
    pub state: State,
    /// The configuration version it has applied; never falls.
    pub applied: u64,
    /// How long the lease runs from each renewal, milliseconds.
    pub term_ms: u64,
    /// Rises by one with each renewal, so that every renewal changes the row.
    pub renewals: u64,
    /// Who holds its ledger after it left.
    pub heir: Option<holder::Id>,
}

impl Row {
    /// Where the row is: rows of one zone stand together, so that a zone can be read by itself.
    pub fn store_address(&self) -> Address {
        Address::new(
            TABLE,
            format_smolstr!("{}{}", zone_prefix(&self.zone), self.id),
        )
    }

    /// How long the lease runs.
    pub fn term(&self) -> Span {
        Span::from_millis(self.term_ms)
    }
}

/// The beginning of all keys of one zone.
pub fn zone_prefix(zone: &str) -> SmolStr {
    format_smolstr!("{zone}/")
}

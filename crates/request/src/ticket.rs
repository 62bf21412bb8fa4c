//! Tickets: permits to run one non-idempotent request, issued with an address.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::Incarnation;

/// A ticket. It is signed before it is given to a caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Entry incarnation that minted the ticket; only its ledger may spend it.
    pub minter: Incarnation,
    /// Serial number; rises by one with each ticket of the minter.
    pub serial: u64,
    /// Account that the ticket was issued to.
    pub account: SmolStr,
}

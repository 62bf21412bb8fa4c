//! Tickets: leave to run one non-idempotent request, given out with the address answer.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::Incarnation;

/// One ticket. Sealed before it is given to a caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The entry incarnation that minted it: only its ledger may let it be spent.
    pub minter: Incarnation,
    /// Rises by one with each ticket of that incarnation.
    pub serial: u64,
    /// The account it was given to.
    pub account: SmolStr,
}

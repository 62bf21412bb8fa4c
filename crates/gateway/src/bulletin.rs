//! What one entry tells all others of its counts, several times a second.

use std::collections::BTreeMap;

use policy::quota::Counts;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The counts of one entry since it started. Each replaces the one before; loss and repetition do no
/// harm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bulletin {
    /// Tokens charged to each account.
    pub charged: Counts,
    /// Attempts under way at each backend server, by the hash of its incarnation.
    pub running: BTreeMap<u64, u32>,
    /// Requests that began to run, by window of usage and account; the newest windows only.
    pub begun: BTreeMap<u64, BTreeMap<SmolStr, u64>>,
    /// Backend servers known to leave or gone, by incarnation; those of the last seconds only.
    pub leaving: Vec<SmolStr>,
}

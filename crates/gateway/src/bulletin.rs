//! What one entry tells all others of its counts, several times a second.

use std::collections::BTreeMap;

use policy::quota::Counts;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::usage::Windows;
use crate::work::Work;

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
    pub begun: Windows,
    /// The sender's clock when it wrote this, Unix milliseconds.
    pub unix_ms: u64,
    /// Work that arrived, by service.
    pub work: BTreeMap<SmolStr, Work>,
}

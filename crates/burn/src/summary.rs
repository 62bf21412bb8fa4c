//! What an entry leaves in the platform's store for the report.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::series::Series;

/// Age from which a summary adds nothing: the period of a day and the slice that it ended in.
const SPENT_MS: u64 = 25 * 60 * 60 * 1_000;

/// All that one incarnation of an entry counted within the windows, as of one moment.
///
/// Each write replaces the incarnation's earlier one, so that a write whose answer was lost may be
/// repeated and a write that was missed loses nothing as long as the entry lives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The entry.
    pub entry: SmolStr,
    /// Which process of that name; unique for ever.
    pub incarnation: SmolStr,
    /// When it began to count, milliseconds since 1970.
    pub since_unix_ms: u64,
    /// When the summary was made, milliseconds since 1970.
    pub made_unix_ms: u64,
    /// Whether it is the last one: the entry has stopped and counted everything.
    pub last: bool,
    /// By deployment, then account.
    pub series: Vec<Series>,
}

impl Summary {
    /// Whether it adds nothing to any report from this moment on, so that the store may forget it.
    pub fn is_spent(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.made_unix_ms) > SPENT_MS
    }
}

/// The newest summary of each incarnation, by entry and time of its start.
pub fn newest(mut summaries: Vec<Summary>) -> Vec<Summary> {
    summaries.sort_by(|left, right| {
        let left = (
            &left.entry,
            left.since_unix_ms,
            &left.incarnation,
            left.made_unix_ms,
        );
        left.cmp(&(
            &right.entry,
            right.since_unix_ms,
            &right.incarnation,
            right.made_unix_ms,
        ))
    });
    summaries.reverse();
    summaries.dedup_by(|later, kept| later.incarnation == kept.incarnation);
    summaries.reverse();
    summaries
}

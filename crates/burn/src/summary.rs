//! What an entry persists in the platform's store for the report.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::series::Series;

/// Age from which a summary is outside every window: the period of a day and the slice in which it ended.
const EXPIRY_MS: u64 = 25 * 60 * 60 * 1_000;

/// All data that one incarnation of an entry recorded within the windows, as of one moment.
///
/// Each write replaces the incarnation's previous summary, so that a write whose response was lost can be
/// retried, and a failed write loses nothing while the entry lives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The entry.
    pub entry: SmolStr,
    /// Identifies one process of that name; never reused.
    pub incarnation: SmolStr,
    /// When it began to record, milliseconds since 1970.
    pub since_unix_ms: u64,
    /// When the summary was built, milliseconds since 1970; the same for all parts of one write.
    pub made_unix_ms: u64,
    /// When the next one is due, milliseconds since 1970.
    pub due_unix_ms: u64,
    /// Whether it is the last one: the entry has stopped and recorded everything.
    pub last: bool,
    /// By deployment, then account; each pair occurs in one part only.
    pub series: Vec<Series>,
}

impl Summary {
    /// Returns whether no report needs it from this time on, so that it can be removed from the store.
    pub fn is_expired(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.made_unix_ms) > EXPIRY_MS
    }

    /// Splits the summary into parts of at most `max_series` series each; at least one part.
    pub fn into_parts(mut self, max_series: usize) -> Vec<Summary> {
        let mut parts = Vec::new();
        while self.series.len() > max_series {
            let rest = self.series.split_off(max_series);
            let series = std::mem::replace(&mut self.series, rest);
            parts.push(Summary {
                series,
                ..self.header()
            });
        }
        parts.push(self);
        parts
    }

    /// Returns the summary without its series.
    fn header(&self) -> Summary {
        Summary {
            entry: self.entry.clone(),
            incarnation: self.incarnation.clone(),
            series: Vec::new(),
            ..*self
        }
    }
}

/// Returns the latest summary of each incarnation, merged from its parts, by entry and start.
///
/// A scan that overlaps with a write may return parts of two writes: the older parts are dropped, so that
/// nothing counts twice.
pub fn latest_by_incarnation(summaries: Vec<Summary>) -> Vec<Summary> {
    let mut by_incarnation: BTreeMap<SmolStr, Summary> = BTreeMap::new();
    for summary in summaries {
        match by_incarnation.get_mut(&summary.incarnation) {
            Some(kept) if kept.made_unix_ms > summary.made_unix_ms => {}
            Some(kept) if kept.made_unix_ms == summary.made_unix_ms => merge_part(kept, summary),
            _ => {
                by_incarnation.insert(summary.incarnation.clone(), summary);
            }
        }
    }
    let mut latest: Vec<Summary> = by_incarnation.into_values().collect();
    latest.sort_by(|left, right| {
        (&left.entry, left.since_unix_ms).cmp(&(&right.entry, right.since_unix_ms))
    });
    latest
}

/// Adds another part of the same write, ignoring series that are already present.
fn merge_part(kept: &mut Summary, part: Summary) {
    let pair = |series: &Series| (series.deployment.clone(), series.account.clone());
    for series in part.series {
        if !kept.series.iter().any(|other| pair(other) == pair(&series)) {
            kept.series.push(series);
        }
    }
}

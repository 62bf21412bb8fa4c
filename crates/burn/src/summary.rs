//! What an entry leaves in the platform's store for the report.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::series::Series;

/// Age from which a summary adds nothing: the period of a day and the slice that it ended in.
const EXPIRY_MS: u64 = 25 * 60 * 60 * 1_000;

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
    /// When the summary was made, milliseconds since 1970. All parts of one write have the same.
    pub made_unix_ms: u64,
    /// When the next one is due, milliseconds since 1970.
    pub due_unix_ms: u64,
    /// Whether it is the last one: the entry has stopped and counted everything.
    pub last: bool,
    /// By deployment, then account; each pair in one part only.
    pub series: Vec<Series>,
}

impl Summary {
    /// Whether it adds nothing to any report from this moment on, so that the store may forget it.
    pub fn is_expired(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.made_unix_ms) > EXPIRY_MS
    }

    /// The same summary in parts of at most `most` series each; at least one part.
    pub fn into_parts(mut self, most: usize) -> Vec<Summary> {
        let mut parts = Vec::new();
        while self.series.len() > most {
            let rest = self.series.split_off(most);
            let series = std::mem::replace(&mut self.series, rest);
            parts.push(Summary {
                series,
                ..self.without_series()
            });
        }
        parts.push(self);
        parts
    }

    /// The head alone.
    fn without_series(&self) -> Summary {
        Summary {
            entry: self.entry.clone(),
            incarnation: self.incarnation.clone(),
            series: Vec::new(),
            ..*self
        }
    }
}

/// The newest summary of each incarnation, put together from its parts, by entry and start.
///
/// A list that was read while an entry wrote may hold parts of two writes: the older ones are left
/// out, so that nothing counts twice.
pub fn latest_by_incarnation(summaries: Vec<Summary>) -> Vec<Summary> {
    let mut by_incarnation: BTreeMap<SmolStr, Summary> = BTreeMap::new();
    for summary in summaries {
        match by_incarnation.get_mut(&summary.incarnation) {
            Some(kept) if kept.made_unix_ms > summary.made_unix_ms => {}
            Some(kept) if kept.made_unix_ms == summary.made_unix_ms => add(kept, summary),
            _ => {
                by_incarnation.insert(summary.incarnation.clone(), summary);
            }
        }
    }
    let mut newest: Vec<Summary> = by_incarnation.into_values().collect();
    newest.sort_by(|left, right| {
        (&left.entry, left.since_unix_ms).cmp(&(&right.entry, right.since_unix_ms))
    });
    newest
}

/// Adds another part of the same write; a part that is there already adds nothing.
fn add(kept: &mut Summary, part: Summary) {
    let pair = |series: &Series| (series.deployment.clone(), series.account.clone());
    for series in part.series {
        if !kept.series.iter().any(|other| pair(other) == pair(&series)) {
            kept.series.push(series);
        }
    }
}

//! Records the ended requests of one entry.

use std::collections::BTreeMap;

use clock::Time;
use smol_str::SmolStr;

use crate::report::Target;
use crate::sample::Sample;
use crate::series::Series;
use crate::summary::Summary;

/// Maximum number of pairs of deployment and account with a series of their own. Requests of further
/// accounts count under [`OVERFLOW_ACCOUNT`], so that memory and summaries stay bounded.
///
/// Keeps the ledger within a sixth of the 128 MB that an entry has for control; `examples/size.rs` prints
/// the memory for each pair.
pub const MAX_SERIES: usize = 1_000;
/// The account that collects requests beyond [`MAX_SERIES`].
pub const OVERFLOW_ACCOUNT: &str = "(rest)";

/// A pair of deployment and account.
type Pair = (SmolStr, SmolStr);

/// Ended requests of one entry, as totals by deployment and account.
#[derive(Clone, Debug)]
pub struct Ledger {
    entry: SmolStr,
    incarnation: SmolStr,
    /// Wall clock at the process's time zero, milliseconds since 1970.
    start_unix_ms: u64,
    targets: BTreeMap<Pair, Target>,
    /// At most `MAX_SERIES`, and one overflow series for each deployment.
    series: BTreeMap<Pair, Series>,
}

impl Ledger {
    /// Creates an empty ledger; `start_unix_ms` is the wall clock at the process's time zero.
    pub fn new(entry: SmolStr, incarnation: SmolStr, start_unix_ms: u64) -> Ledger {
        Ledger {
            entry,
            incarnation,
            start_unix_ms,
            targets: BTreeMap::new(),
            series: BTreeMap::new(),
        }
    }

    /// Replaces all targets with those of a configuration that has just taken effect.
    pub fn set_targets(&mut self, now: Time, targets: impl IntoIterator<Item = (Pair, Target)>) {
        self.targets = targets.into_iter().collect();
        let unix_ms = self.unix_ms(now);
        for (pair, series) in &mut self.series {
            if let Some(target) = self.targets.get(pair) {
                series.set_target(unix_ms, *target);
            }
        }
    }

    /// Records an ended request.
    pub fn record(&mut self, now: Time, sample: &Sample) {
        let unix_ms = self.unix_ms(now);
        let pair = self.pair_for(sample);
        let own_pair = (sample.deployment.clone(), sample.account.clone());
        let target = self.targets.get(&own_pair).copied();
        let series = self
            .series
            .entry(pair.clone())
            .or_insert_with(|| Series::new(pair.0, pair.1));
        if let Some(target) = target {
            series.set_target(unix_ms, target);
        }
        series.record(unix_ms, sample);
    }

    /// Builds the summary to write to the store; `last` if no further requests will be recorded.
    ///
    /// Its due time is set to now; the writer replaces it once the next write is scheduled.
    pub fn summary(&mut self, now: Time, last: bool) -> Summary {
        self.trim(now);
        Summary {
            entry: self.entry.clone(),
            incarnation: self.incarnation.clone(),
            since_unix_ms: self.start_unix_ms,
            made_unix_ms: self.unix_ms(now),
            due_unix_ms: self.unix_ms(now),
            last,
            series: self.series.values().cloned().collect(),
        }
    }

    /// Drops data that is older than every window, and pairs without any data left.
    pub fn trim(&mut self, now: Time) {
        let unix_ms = self.unix_ms(now);
        for series in self.series.values_mut() {
            series.trim(unix_ms);
        }
        self.series.retain(|_, series| !series.is_empty());
    }

    /// Returns the entry's incarnation.
    pub fn incarnation(&self) -> &SmolStr {
        &self.incarnation
    }

    /// Converts a time of the process to wall-clock milliseconds since 1970.
    pub fn unix_ms(&self, now: Time) -> u64 {
        self.start_unix_ms.saturating_add(now.as_millis())
    }

    /// Returns the pair under which a request counts.
    fn pair_for(&self, sample: &Sample) -> Pair {
        let pair = (sample.deployment.clone(), sample.account.clone());
        if self.series.len() < MAX_SERIES || self.series.contains_key(&pair) {
            return pair;
        }
        (pair.0, SmolStr::new_static(OVERFLOW_ACCOUNT))
    }
}

//! What one entry counts.

use std::collections::BTreeMap;

use clock::Time;
use smol_str::SmolStr;

use crate::report::Target;
use crate::sample::Sample;
use crate::series::Series;
use crate::summary::Summary;

/// Most pairs of deployment and account that are kept apart. A further account's requests count
/// under [`OVERFLOW_ACCOUNT`], so that memory and summaries stay bounded when accounts are many.
///
/// The figure keeps the ledger within a sixth of the 128 MB that an entry has for control, at the
/// bytes a pair that the example `size` measures.
pub const MAX_SERIES: usize = 1_000;
/// The account under which requests count that have no place of their own.
pub const OVERFLOW_ACCOUNT: &str = "(rest)";

/// A pair of deployment and account.
type Pair = (SmolStr, SmolStr);

/// What one entry counts.
#[derive(Clone, Debug)]
pub struct Ledger {
    entry: SmolStr,
    incarnation: SmolStr,
    /// Wall clock at the process's time zero.
    zero_unix_ms: u64,
    targets: BTreeMap<Pair, Target>,
    /// At most `MAX_SERIES`, and one more for each deployment.
    series: BTreeMap<Pair, Series>,
}

impl Ledger {
    /// An empty one; `zero_unix_ms` is the wall clock at the process's time zero.
    pub fn new(entry: SmolStr, incarnation: SmolStr, zero_unix_ms: u64) -> Ledger {
        Ledger {
            entry,
            incarnation,
            zero_unix_ms,
            targets: BTreeMap::new(),
            series: BTreeMap::new(),
        }
    }

    /// Takes over all promises of a configuration that is in force now.
    pub fn set_targets(&mut self, now: Time, targets: impl IntoIterator<Item = (Pair, Target)>) {
        self.targets = targets.into_iter().collect();
        let unix_ms = self.unix_ms(now);
        for (pair, series) in &mut self.series {
            if let Some(target) = self.targets.get(pair) {
                series.set_target(unix_ms, *target);
            }
        }
    }

    /// Counts an ended request.
    pub fn record(&mut self, now: Time, sample: &Sample) {
        let unix_ms = self.unix_ms(now);
        let pair = self.place(sample);
        let promised = (sample.deployment.clone(), sample.account.clone());
        let target = self.targets.get(&promised).copied();
        let series = self
            .series
            .entry(pair.clone())
            .or_insert_with(|| Series::new(pair.0, pair.1));
        if let Some(target) = target {
            series.set_target(unix_ms, target);
        }
        series.record(unix_ms, sample);
    }

    /// What is to be written to the store; `last` if nothing is counted from now on.
    ///
    /// It is due again at once: who writes it sets when.
    pub fn summary(&mut self, now: Time, last: bool) -> Summary {
        self.trim(now);
        Summary {
            entry: self.entry.clone(),
            incarnation: self.incarnation.clone(),
            since_unix_ms: self.zero_unix_ms,
            made_unix_ms: self.unix_ms(now),
            due_unix_ms: self.unix_ms(now),
            last,
            series: self.series.values().cloned().collect(),
        }
    }

    /// Forgets what is older than any window, and pairs of which nothing is left.
    pub fn trim(&mut self, now: Time) {
        let unix_ms = self.unix_ms(now);
        for series in self.series.values_mut() {
            series.trim(unix_ms);
        }
        self.series.retain(|_, series| !series.is_empty());
    }

    /// Its entry's incarnation.
    pub fn incarnation(&self) -> &SmolStr {
        &self.incarnation
    }

    /// The wall clock at a time of the process.
    pub fn unix_ms(&self, now: Time) -> u64 {
        self.zero_unix_ms.saturating_add(now.as_millis())
    }

    /// Under which pair a request counts.
    fn place(&self, sample: &Sample) -> Pair {
        let pair = (sample.deployment.clone(), sample.account.clone());
        if self.series.len() < MAX_SERIES || self.series.contains_key(&pair) {
            return pair;
        }
        (pair.0, SmolStr::new_static(OVERFLOW_ACCOUNT))
    }
}

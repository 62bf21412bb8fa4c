//! Relative speeds of replicas, learned by all entries together.
//!
//! Load pattern: replicas of one service differ in speed up to three times. Given equal parts of the work, the slow
//! ones are overloaded while the others have capacity left. Each entry sees too few answers of a replica to tell its
//! speed from chance, so entries exchange their samples.
//!
//! The speed of a replica is the median time per unit of its group divided by its own. The samples of a replica are a
//! moving average over its latest answers, not over time: the estimate of a busy replica follows a change within
//! seconds, and that of an idle one still has enough answers. Speeds are kept by the identity of the incarnation, so a
//! restarted replica starts without samples, at the median.

use std::collections::BTreeMap;

use clock::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::configs::speed::Config;

/// Speed of a replica that doesn't differ from the median of its group.
pub const MEDIAN: f64 = 1.0;
/// Speeds are published in percent.
const PERCENT: f64 = 100.0;

/// Time that units of work took. Samples of several entries add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u32, u32, u32)", from = "(u32, u32, u32)")]
pub struct Pace {
    /// Tokens after an answer's first event, or plain calls.
    pub units: u32,
    /// Time that they took, without the wait before their start.
    pub millis: u32,
    /// Answers that they belong to. Units alone don't tell how many answers of unknown length were sampled.
    pub answers: u32,
}

impl Pace {
    /// Returns the sample of one answer.
    pub const fn of_answer(units: u32, millis: u32) -> Pace {
        Pace {
            units,
            millis,
            answers: 1,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, other: Pace) {
        self.units = self.units.saturating_add(other.units);
        self.millis = self.millis.saturating_add(other.millis);
        self.answers = self.answers.saturating_add(other.answers);
    }

    fn is_valid(self) -> bool {
        self.units > 0 && self.millis > 0 && self.answers > 0
    }
}

impl From<(u32, u32, u32)> for Pace {
    fn from((units, millis, answers): (u32, u32, u32)) -> Pace {
        Pace {
            units,
            millis,
            answers,
        }
    }
}

impl From<Pace> for (u32, u32, u32) {
    fn from(pace: Pace) -> (u32, u32, u32) {
        (pace.units, pace.millis, pace.answers)
    }
}

/// Speeds of the replicas that one entry knows, by the identity of the incarnation.
#[derive(Debug)]
pub struct Table {
    config: Config,
    records: BTreeMap<u64, Record>,
    /// Own samples that the embedder hasn't taken.
    untaken: BTreeMap<u64, Pace>,
    /// Speeds that another entry published from the samples of all, and when they arrived.
    published: Option<(Time, BTreeMap<u64, f64>)>,
    /// Whether samples or members changed since the last calculation.
    changed: bool,
    calculated_at: Option<Time>,
}

/// Samples and speed of one replica.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Replicas are compared within their group.
    group: u32,
    average: Average,
    sampled_at: Time,
    /// Relative speed from the samples, without limits; none while there are too few.
    measured: Option<f64>,
    /// Speed in force.
    speed: f64,
    /// Speed that it has persistently; none until one is known.
    settled: Option<f64>,
}

/// Moving average of samples.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    units: f64,
    millis: f64,
    answers: f64,
}

impl Average {
    fn add(&mut self, pace: Pace, memory: f64) {
        let answers = f64::from(pace.answers);
        let kept = (memory - answers).clamp(0.0, memory);
        let scale = (kept / self.answers.max(f64::MIN_POSITIVE)).min(1.0);
        // A message with more answers than the memory holds counts as that many.
        let share = (memory / answers).min(1.0);
        self.units = self.units * scale + f64::from(pace.units) * share;
        self.millis = self.millis * scale + f64::from(pace.millis) * share;
        self.answers = self.answers * scale + answers * share;
    }

    fn millis_per_unit(&self) -> Option<f64> {
        (self.units > 0.0).then(|| self.millis / self.units)
    }
}

impl Record {
    fn new(group: u32) -> Record {
        Record {
            group,
            average: Average::default(),
            sampled_at: Time::ZERO,
            measured: None,
            speed: MEDIAN,
            settled: None,
        }
    }
}

impl Table {
    /// Creates a table without replicas.
    pub fn new(config: Config) -> Table {
        Table {
            config,
            records: BTreeMap::new(),
            untaken: BTreeMap::new(),
            published: None,
            changed: false,
            calculated_at: None,
        }
    }

    /// Adds a replica, which is compared with the others of its group.
    pub fn add(&mut self, identity: u64, group: u32) {
        self.records
            .entry(identity)
            .or_insert_with(|| Record::new(group));
        self.changed = true;
    }

    /// Removes a replica that is gone.
    pub fn remove(&mut self, identity: u64) {
        self.records.remove(&identity);
        self.untaken.remove(&identity);
        self.changed = true;
    }

    /// Records a sample of this entry.
    pub fn record(&mut self, now: Time, identity: u64, pace: Pace) {
        if self.merge_one(now, identity, pace) {
            self.untaken.entry(identity).or_default().add(pace);
        }
    }

    /// Merges samples of another entry; those of unknown replicas are dropped.
    ///
    /// The caller drops duplicates of a message. A lost one loses samples of all its replicas alike, which
    /// shifts no estimate.
    pub fn merge(&mut self, now: Time, samples: &BTreeMap<u64, Pace>) {
        for (identity, pace) in samples {
            self.merge_one(now, *identity, *pace);
        }
    }

    fn merge_one(&mut self, now: Time, identity: u64, pace: Pace) -> bool {
        let memory = f64::from(self.config.memory_answers.max(self.config.min_answers));
        let record = self.records.get_mut(&identity);
        let Some(record) = record.filter(|_| self.config.enabled && pace.is_valid()) else {
            return false;
        };
        record.average.add(pace, memory);
        record.sampled_at = now;
        self.changed = true;
        true
    }

    /// Returns the samples of this entry since the last call.
    pub fn take_samples(&mut self) -> BTreeMap<u64, Pace> {
        std::mem::take(&mut self.untaken)
    }

    /// Returns the speeds for the other entries, in percent, of the replicas that differ from the median.
    ///
    /// A replica with too few samples here keeps the speed that another entry published, until that expires:
    /// an entry that begins to publish has hardly any samples.
    pub fn publish(&mut self, now: Time) -> BTreeMap<u64, u16> {
        self.calculate(now);
        let published = self.published.as_ref();
        let speed = |identity: &u64, record: &Record| match record.measured {
            Some(measured) => limit(&self.config, measured),
            None => published
                .and_then(|(_, speeds)| speeds.get(identity))
                .copied()
                .unwrap_or(MEDIAN),
        };
        self.records
            .iter()
            .map(|(identity, record)| (*identity, speed(identity, record)))
            .filter(|(_, speed)| *speed != MEDIAN)
            .map(|(identity, speed)| (identity, (speed * PERCENT).round() as u16))
            .collect()
    }

    /// Replaces the speeds that another entry published from the samples of all.
    pub fn absorb(&mut self, now: Time, speeds: &BTreeMap<u64, u16>) {
        if !self.config.enabled {
            return;
        }
        let speed = |percent: u16| limit(&self.config, f64::from(percent) / PERCENT);
        let speeds = speeds
            .iter()
            .map(|(identity, percent)| (*identity, speed(*percent)));
        self.published = Some((now, speeds.collect()));
        self.calculate(now);
    }

    /// Applies new samples and expires old ones, at most once per interval.
    pub fn refresh(&mut self, now: Time) {
        let interval = self.config.refresh_interval;
        if self
            .calculated_at
            .is_some_and(|last| now.since(last) < interval)
        {
            return;
        }
        self.calculate(now);
    }

    /// Returns the relative speed of a replica; 1 while it isn't known.
    pub fn relative(&self, identity: u64) -> f64 {
        self.records
            .get(&identity)
            .map_or(MEDIAN, |record| record.speed)
    }

    /// Returns the speed that a replica has persistently; 1 while it isn't known.
    ///
    /// A replica at the lower end of the range is too slow for any type: its time per token is compared as it is.
    pub fn settled(&self, identity: u64) -> f64 {
        let Some(record) = self.records.get(&identity) else {
            return MEDIAN;
        };
        let (lowest, _) = self.config.range;
        match record.speed <= lowest {
            true => MEDIAN,
            false => record.settled.unwrap_or(MEDIAN),
        }
    }

    /// Returns whether a replica that joined then may still be learned: its speed isn't known, and it is new.
    pub fn is_learning(&self, now: Time, identity: u64, joined_at: Time) -> bool {
        let is_new = now.since(joined_at) < self.config.learning_time;
        let published = self.published.as_ref();
        let is_published = published.is_some_and(|(_, speeds)| speeds.contains_key(&identity));
        let record = self.records.get(&identity);
        let is_measured = record.is_some_and(|record| record.measured.is_some());
        self.config.enabled && is_new && !is_published && !is_measured
    }

    /// Returns the number of answers in a replica's moving average.
    pub fn answers(&self, identity: u64) -> u32 {
        self.records
            .get(&identity)
            .map_or(0, |record| record.average.answers.round() as u32)
    }

    /// Returns when the published speeds arrived, while they apply.
    pub fn published_at(&self) -> Option<Time> {
        self.published.as_ref().map(|(at, _)| *at)
    }

    /// Returns when a replica was last sampled, if any was.
    pub fn sampled_at(&self) -> Option<Time> {
        let sampled = self
            .records
            .values()
            .filter(|record| record.average.answers > 0.0);
        sampled.map(|record| record.sampled_at).max()
    }

    /// Returns the speeds of all replicas.
    pub fn speeds(&self) -> impl Iterator<Item = (u64, f64)> {
        self.records
            .iter()
            .map(|(identity, record)| (*identity, record.speed))
    }

    fn calculate(&mut self, now: Time) {
        let elapsed = self
            .calculated_at
            .map_or(0, |last| now.since(last).as_millis());
        self.calculated_at = Some(now);
        let config = self.config;
        let expired = |(at, _): &(Time, _)| now.since(*at) >= config.published_ttl;
        if self.published.as_ref().is_some_and(expired) {
            self.published = None;
        }
        for record in self.records.values_mut() {
            let age = now.since(record.sampled_at);
            if record.average.answers > 0.0 && age >= config.sample_ttl {
                record.average = Average::default();
                record.settled = None;
                self.changed = true;
            }
        }
        if std::mem::take(&mut self.changed) {
            self.measure();
        }
        let weight = 1.0 - (-(elapsed as f64) / config.settling_time.as_millis() as f64).exp();
        for (identity, record) in &mut self.records {
            // Speeds from the samples of all entries come before those from the own ones.
            let known = match &self.published {
                Some((_, speeds)) => Some(speeds.get(identity).copied().unwrap_or(MEDIAN)),
                None => record.measured.map(|measured| limit(&config, measured)),
            };
            record.speed = known.unwrap_or(MEDIAN);
            if let Some(known) = known {
                let settled = record.settled.get_or_insert(known);
                *settled += weight * (known - *settled);
            }
        }
    }

    /// Compares the samples of each replica with the median of its group.
    fn measure(&mut self) {
        let enough = f64::from(self.config.min_answers);
        let mut groups: BTreeMap<u32, Vec<(f64, f64)>> = BTreeMap::new();
        for record in self.records.values() {
            if let Some(time) = record.average.millis_per_unit() {
                let weight = (record.average.answers / enough).min(1.0);
                groups.entry(record.group).or_default().push((time, weight));
            }
        }
        let medians: BTreeMap<u32, f64> = groups
            .into_iter()
            .filter_map(|(group, times)| Some((group, weighted_median(times)?)))
            .collect();
        // Answers are scaled when the average is full, which may leave a little less than a whole number.
        const ROUNDING: f64 = 0.01;
        for record in self.records.values_mut() {
            let is_known = record.average.answers >= enough - ROUNDING;
            let time = record.average.millis_per_unit().filter(|_| is_known);
            let median = medians.get(&record.group);
            record.measured = time.zip(median).map(|(time, median)| median / time);
        }
    }
}

/// Limits a relative speed to its range; one near the median is the median.
fn limit(config: &Config, speed: f64) -> f64 {
    let (lowest, highest) = config.range;
    match (speed - MEDIAN).abs() <= config.tolerance {
        true => MEDIAN,
        false => speed.clamp(lowest, highest),
    }
}

/// Returns the median of values by weight, the mean of the two middle ones if the weights below and above are equal.
fn weighted_median(mut values: Vec<(f64, f64)>) -> Option<f64> {
    values.sort_by(|one, other| one.0.total_cmp(&other.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut below = 0.0;
    let mut values = values.into_iter().peekable();
    while let Some((value, weight)) = values.next() {
        below += weight;
        if below > half {
            return Some(value);
        }
        if below == half {
            return Some(
                values
                    .peek()
                    .map_or(value, |(next, _)| (value + next) / 2.0),
            );
        }
    }
    None
}

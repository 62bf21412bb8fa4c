//! Limit on own jobs at one replica, derived from own latency.

use clock::Time;

use crate::configs::concurrency::Config;

/// A limit that rises by one per full round and is cut when latency exceeds the target.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// Limit on own jobs, from 1 to `max`.
    value: f64,
    /// Number of jobs that the replica can run for all entries.
    max: f64,
    /// Moving average of latency over target.
    latency_ratio: f64,
    /// Time before which the limit isn't cut again.
    next_cut: Time,
}

impl Limit {
    /// Starts with the replica's whole capacity: the use of others is subtracted elsewhere, and the first
    /// late samples cut the limit.
    pub fn new(slots: u32) -> Limit {
        let max = f64::from(slots.max(1));
        Limit {
            value: max,
            max,
            latency_ratio: 0.0,
            next_cut: Time::ZERO,
        }
    }

    /// Adjusts the limit to a latency, as a multiple of its target, that was seen while `jobs` own jobs ran.
    pub fn sample(&mut self, now: Time, latency_ratio: f64, jobs: u32, config: &Config) {
        self.latency_ratio += config.smoothing * (latency_ratio - self.latency_ratio);
        if self.latency_ratio > 1.0 {
            self.cut(now, jobs, config);
            return;
        }
        // An unused limit proves nothing: it would rise beyond any load that was tried.
        if f64::from(jobs) >= self.value / 2.0 {
            self.value = (self.value + 1.0 / self.value).min(self.max);
        }
    }

    /// Returns the limit on own jobs.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Cuts the number in use: a limit far above it would have no effect for many cuts.
    fn cut(&mut self, now: Time, jobs: u32, config: &Config) {
        if now < self.next_cut {
            return;
        }
        self.next_cut = now + config.cut_interval;
        self.value = (self.value.min(f64::from(jobs)) * config.decrease).max(1.0);
    }
}

//! Limit on own jobs at one replica, derived from own latency.

use clock::Time;

use crate::configs::concurrency::Config;

/// A limit that rises by one per full round and is cut when latency exceeds the target.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// Limit on own jobs, from 1 to `max`.
    value: f64,
    /// Number of jobs that the replica can run for all entries.
    most: f64,
    /// Moving average of latency over target.
    strain: f64,
    /// Time before which the limit isn't cut again.
    pause: Time,
}

impl Limit {
    /// Starts with the replica's whole capacity: the use of others is subtracted elsewhere, and the first late
    /// samples cut the limit.
    pub fn new(slots: u32) -> Limit {
        let most = f64::from(slots.max(1));
        Limit {
            value: most,
            most,
            strain: 0.0,
            pause: Time::ZERO,
        }
    }

    /// Adjusts the limit to a latency, as a multiple of its target, that was seen while `jobs` own jobs ran.
    pub fn sample(&mut self, now: Time, strain: f64, jobs: u32, config: &Config) {
        self.strain += config.sample * (strain - self.strain);
        if self.strain > 1.0 {
            self.cut(now, jobs, config);
            return;
        }
        // An unused limit proves nothing: it would rise beyond any load that was tried.
        if f64::from(jobs) >= self.value / 2.0 {
            self.value = (self.value + 1.0 / self.value).min(self.most);
        }
    }

    /// Returns the limit on own jobs.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Cuts the number in use: a limit far above it would have no effect for many cuts.
    fn cut(&mut self, now: Time, jobs: u32, config: &Config) {
        if now < self.pause {
            return;
        }
        self.pause = now + config.pause;
        self.value = (self.value.min(f64::from(jobs)) * config.cut).max(1.0);
    }
}

//! How many own jobs a replica may have, from its own latency.

use clock::Time;

use crate::configs::concurrency::Config;

/// A limit that rises by one a full round and is cut when latency passes the target.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// Own jobs at once; from 1 to `most`.
    value: f64,
    /// What the replica can run at once, for all entries.
    most: f64,
    /// Moving average of latency over target.
    strain: f64,
    /// Not cut again before.
    pause: Time,
}

impl Limit {
    /// Starts with all that the replica can run: what others use is subtracted elsewhere, and the
    /// first late samples cut it.
    pub fn new(slots: u32) -> Limit {
        let most = f64::from(slots.max(1));
        Limit {
            value: most,
            most,
            strain: 0.0,
            pause: Time::ZERO,
        }
    }

    /// Learns from one latency, as a multiple of its target, while `jobs` of ours ran there.
    pub fn sample(&mut self, now: Time, strain: f64, jobs: u32, config: &Config) {
        self.strain += config.sample * (strain - self.strain);
        if self.strain > 1.0 {
            self.cut(now, jobs, config);
            return;
        }
        // An unused limit proves nothing: it would rise beyond what was ever tried.
        if f64::from(jobs) >= self.value / 2.0 {
            self.value = (self.value + 1.0 / self.value).min(self.most);
        }
    }

    /// Own jobs at once.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Cuts what is in use: a limit far above it would stay without effect for many cuts.
    fn cut(&mut self, now: Time, jobs: u32, config: &Config) {
        if now < self.pause {
            return;
        }
        self.pause = now + config.pause;
        self.value = (self.value.min(f64::from(jobs)) * config.cut).max(1.0);
    }
}

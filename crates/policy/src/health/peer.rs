//! Health measurements of one replica.

use clock::Span;
use clock::Time;

use crate::configs::health::Config;
use crate::job::End;

/// How a replica stands out, from the least harm to its requests to the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// Its answers take several times as long.
    Slow,
    /// It fails its requests.
    Failing,
    /// It holds its requests without a sign of life.
    Silent,
}

/// Health state of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    /// Comparable to its peers.
    Healthy,
    /// Ejected until this time, for this fault.
    Ejected(Time, Fault),
    /// Probed with at most this many concurrent jobs.
    Probing(u32),
}

/// Health measurements of one replica.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub state: State,
    /// Relative speed that the replica has persistently, by which its gap is compared.
    pub speed: f64,
    /// Whether its speed isn't known yet, so that a long gap may be that of its type.
    pub learning: bool,
    /// Moving average of the smallest token gap (or call duration) of each period, in milliseconds;
    /// valid once there are enough `samples`.
    gap: f64,
    /// Smallest gap of the current period.
    min_gap: Option<f64>,
    /// Periods with a gap since the last change of state.
    samples: u32,
    /// Moving average of the failure rate, 0 to 1.
    failures: f64,
    /// Attempts ended since the last change of state.
    attempts: u32,
    /// Successful attempts since the last change of state.
    successes: u32,
    in_flight: u32,
    /// When its streams last produced output, or work was given to it while idle.
    last_output: Time,
    /// When it last showed any sign of life.
    last_seen: Time,
    /// Duration of the next ejection.
    next_ejection: Span,
}

impl Peer {
    /// Creates a healthy replica without measurements.
    pub fn new(now: Time, config: &Config) -> Peer {
        Peer {
            state: State::Healthy,
            speed: 1.0,
            learning: false,
            gap: 0.0,
            min_gap: None,
            samples: 0,
            failures: 0.0,
            attempts: 0,
            successes: 0,
            in_flight: 0,
            last_output: now,
            last_seen: now,
            next_ejection: config.base_ejection,
        }
    }

    /// Records that work was given to it.
    pub fn record_start(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.last_output = now;
            self.last_seen = now;
        }
        self.in_flight += 1;
    }

    /// Records output of a stream; `gap` is the time per token.
    pub fn record_progress(&mut self, now: Time, gap: Option<f64>) {
        self.last_output = now;
        self.last_seen = now;
        if let Some(gap) = gap {
            self.min_gap = Some(self.min_gap.map_or(gap, |min| min.min(gap)));
        }
    }

    /// Ends a period and adds its smallest gap to the average.
    ///
    /// The smallest, because a healthy engine that computes a long prompt beside its streams has
    /// gaps several times longer than its peers while that lasts; a slow one has no short gap.
    pub fn close_period(&mut self, config: &Config) {
        let Some(gap) = self.min_gap.take() else {
            return;
        };
        self.samples += 1;
        // A plain mean until there are enough samples, so that the first one doesn't dominate.
        let weight = config.gap_smoothing.max(1.0 / f64::from(self.samples));
        self.gap += weight * (gap - self.gap);
    }

    /// Records a load report.
    pub fn record_report(&mut self, now: Time) {
        self.last_seen = now;
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: Time, end: End, config: &Config) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_output = now;
        let failed = match end {
            End::Finished => 0.0,
            End::Failed | End::NotStarted | End::NotSent => 1.0,
            End::Crashed | End::Interrupted | End::Withheld | End::Left => return,
        };
        self.last_seen = now;
        self.attempts += 1;
        let weight = config.failure_smoothing.max(1.0 / f64::from(self.attempts));
        self.failures += weight * (failed - self.failures);
        if failed == 0.0 {
            self.successes += 1;
        }
    }

    /// Returns the failure rate, once there are enough attempts.
    pub fn failure_rate(&self, config: &Config) -> Option<f64> {
        (self.attempts >= config.min_attempts).then_some(self.failures)
    }

    /// Returns the average gap that a replica of median speed would have, once there are enough samples.
    pub fn average_gap(&self, config: &Config) -> Option<f64> {
        (self.samples >= config.min_samples).then_some(self.gap * self.speed)
    }

    /// Returns whether it has held work without output for longer than `usual` explains.
    pub fn is_silent(&self, now: Time, usual: f64, config: &Config) -> bool {
        let usual = Span::from_millis((usual * config.silence_factor) as u64);
        let silent = |since: Time, limit: Span| now.since(since) > limit.max(usual);
        let frozen = silent(self.last_seen, config.frozen_after)
            && silent(self.last_output, config.frozen_after);
        self.in_flight > 0 && (frozen || silent(self.last_output, config.stalled_after))
    }

    /// Ejects it; the next ejection lasts twice as long.
    pub fn eject(&mut self, now: Time, fault: Fault, config: &Config) {
        self.enter(now, State::Ejected(now + self.next_ejection, fault));
        self.next_ejection = self.next_ejection.times(2).min(config.max_ejection);
    }

    /// Starts to probe it with one job.
    pub fn probe(&mut self, now: Time) {
        self.enter(now, State::Probing(1));
    }

    /// Doubles the concurrent jobs of a probed replica once it has completed that many, with enough
    /// samples to detect that it is slow.
    pub fn advance(&mut self, now: Time, allowed: u32, config: &Config) {
        if self.successes < allowed || self.samples < config.min_samples {
            return;
        }
        if allowed >= config.recovered_jobs {
            self.enter(now, State::Healthy);
            self.next_ejection = config.base_ejection;
            return;
        }
        self.state = State::Probing(allowed * 2);
        self.successes = 0;
    }

    /// Enters a state and resets the measurements, which don't apply to the new state.
    fn enter(&mut self, now: Time, state: State) {
        self.state = state;
        self.last_output = now;
        self.last_seen = now;
        self.samples = 0;
        self.min_gap = None;
        self.gap = 0.0;
        self.attempts = 0;
        self.failures = 0.0;
        self.successes = 0;
    }
}

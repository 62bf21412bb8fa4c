//! What is measured of one replica.

use clock::Span;
use clock::Time;

use crate::configs::health::Config;
use crate::job::End;

/// Whether a replica may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    /// Like its peers.
    Healthy,
    /// Out until then.
    Ejected(Time),
    /// Tried again with at most so many jobs at once.
    Probing(u32),
}

/// One replica's signs of health.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub state: State,
    /// Moving average of the least token gap (or call time) of each period, ms; meaningful from
    /// `samples` on.
    gap: f64,
    /// The least gap of this period.
    least: Option<f64>,
    /// Periods with a gap since the last change of state.
    samples: u32,
    /// Moving average of failures, 0 to 1.
    failures: f64,
    /// Attempts ended since the last change of state.
    attempts: u32,
    /// Attempts that ended well since the last change of state.
    good: u32,
    in_flight: u32,
    /// When its streams last said something, or work was given to it while idle.
    spoke: Time,
    /// When it was last heard at all.
    heard: Time,
    /// The term of the next ejection.
    term: Span,
}

impl Peer {
    /// A replica of which nothing is known.
    pub fn new(now: Time, config: &Config) -> Peer {
        Peer {
            state: State::Healthy,
            gap: 0.0,
            least: None,
            samples: 0,
            failures: 0.0,
            attempts: 0,
            good: 0,
            in_flight: 0,
            spoke: now,
            heard: now,
            term: config.base_ejection,
        }
    }

    /// Work was given to it.
    pub fn record_start(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.spoke = now;
            self.heard = now;
        }
        self.in_flight += 1;
    }

    /// A stream said something; `gap` is the time for each token.
    pub fn record_progress(&mut self, now: Time, gap: Option<f64>) {
        self.spoke = now;
        self.heard = now;
        if let Some(gap) = gap {
            self.least = Some(self.least.map_or(gap, |least| least.min(gap)));
        }
    }

    /// A period is over: its least gap goes into the average.
    ///
    /// The least, because a healthy engine that computes a long prompt beside its streams has gaps
    /// several times longer than its peers for as long as that lasts; a slow one has no short gap.
    pub fn close_period(&mut self, config: &Config) {
        let Some(gap) = self.least.take() else {
            return;
        };
        self.samples += 1;
        // A plain mean until there are enough samples, so that the first one doesn't dominate.
        let weight = config.gap_smoothing.max(1.0 / f64::from(self.samples));
        self.gap += weight * (gap - self.gap);
    }

    /// It sent a load report.
    pub fn record_report(&mut self, now: Time) {
        self.heard = now;
    }

    /// An attempt ended.
    pub fn record_end(&mut self, now: Time, end: End, config: &Config) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.spoke = now;
        let failed = match end {
            End::Finished => 0.0,
            End::Failed | End::NotStarted | End::NotSent => 1.0,
            End::Crashed | End::Left => return,
        };
        self.heard = now;
        self.attempts += 1;
        let weight = config.failure_smoothing.max(1.0 / f64::from(self.attempts));
        self.failures += weight * (failed - self.failures);
        if failed == 0.0 {
            self.good += 1;
        }
    }

    /// Share of failures, once it can be judged.
    pub fn failures(&self, config: &Config) -> Option<f64> {
        (self.attempts >= config.min_attempts).then_some(self.failures)
    }

    /// The average gap, once it can be judged.
    pub fn judged_gap(&self, config: &Config) -> Option<f64> {
        (self.samples >= config.min_samples).then_some(self.gap)
    }

    /// Whether it keeps work without a word for longer than `usual` explains.
    pub fn is_silent(&self, now: Time, usual: f64, config: &Config) -> bool {
        let usual = Span::from_millis((usual * config.silence_factor) as u64);
        let silent = |since: Time, limit: Span| now.since(since) > limit.max(usual);
        let frozen =
            silent(self.heard, config.frozen_after) && silent(self.spoke, config.frozen_after);
        self.in_flight > 0 && (frozen || silent(self.spoke, config.stalled_after))
    }

    /// Takes it out; the next term is twice as long.
    pub fn eject(&mut self, now: Time, config: &Config) {
        self.enter(now, State::Ejected(now + self.term));
        self.term = self.term.times(2).min(config.max_ejection);
    }

    /// Lets it be tried with one job.
    pub fn probe(&mut self, now: Time) {
        self.enter(now, State::Probing(1));
    }

    /// Doubles what a probed replica may run once it has done that much well, and was watched for
    /// long enough to be found slow if it were.
    pub fn advance(&mut self, now: Time, allowed: u32, config: &Config) {
        if self.good < allowed || self.samples < config.min_samples {
            return;
        }
        if allowed >= config.recovered_jobs {
            self.enter(now, State::Healthy);
            self.term = config.base_ejection;
            return;
        }
        self.state = State::Probing(allowed * 2);
        self.good = 0;
    }

    /// What was measured before says nothing of the new state.
    fn enter(&mut self, now: Time, state: State) {
        self.state = state;
        self.spoke = now;
        self.heard = now;
        self.samples = 0;
        self.least = None;
        self.gap = 0.0;
        self.attempts = 0;
        self.failures = 0.0;
        self.good = 0;
    }
}

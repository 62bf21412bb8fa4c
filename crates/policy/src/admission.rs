//! Admission control by predicted time to first token.
//!
//! Guards against a burst beyond capacity: without admission control the queue grows until every
//! answer in it misses its target, long after the burst is over.
//!
//! The predicted wait is the queued work ahead divided by the rate at which this entry completes
//! work (Little's law: running attempts over their mean duration). It reacts to the loss of a zone
//! immediately, because the number of running attempts drops with it. The time from start to first
//! token is a linear regression over prompt length. A job is refused on arrival when the sum
//! exceeds its target.

use clock::Span;

use crate::configs::admission::Config;
use crate::fair::Cost;
use crate::size::Class;

/// Weight of a sample below the idle-replica estimate: the fastest answers show what an idle
/// replica takes.
const FASTER_WEIGHT: f64 = 0.5;
/// Weight of a sample above the estimate, relative to the configured smoothing.
const SLOWER_WEIGHT: f64 = 0.02;
/// Tokens added to a prompt's length when a time is divided by it: the part of the time that
/// doesn't depend on the prompt.
const PROMPT_OVERHEAD_TOKENS: f64 = 100.0;

/// Observed service times and costs of one pool's replicas.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Per size class: a fit over short prompts doesn't hold for prompts twenty times as long.
    fits: [Regression; 2],
    idle_ratio: Option<f64>,
    duration: Mean,
    cost: Mean,
}

/// Linear regression of the time to first token over prompt length.
#[derive(Clone, Debug, Default)]
struct Regression {
    prompt: Mean,
    time: Mean,
    prompt_squared: Mean,
    product: Mean,
}

impl Regression {
    fn record(&mut self, prompt: f64, took: f64, smoothing: f64) {
        self.prompt.record(prompt, smoothing);
        self.time.record(took, smoothing);
        self.prompt_squared.record(prompt * prompt, smoothing);
        self.product.record(prompt * took, smoothing);
    }

    /// Returns the expected time in milliseconds, or `None` before the first observation.
    fn predict(&self, prompt: f64) -> Option<f64> {
        if self.time.count == 0.0 {
            return None;
        }
        let variance = self.prompt_squared.value - self.prompt.value * self.prompt.value;
        let covariance = self.product.value - self.prompt.value * self.time.value;
        let slope = if variance > 1.0 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        Some(self.time.value + slope * (prompt - self.prompt.value))
    }
}

/// An exponentially weighted mean that starts out as a plain mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    count: f64,
}

impl Mean {
    fn record(&mut self, value: f64, smoothing: f64) {
        self.count += 1.0;
        let weight = smoothing.max(1.0 / self.count);
        self.value += weight * (value - self.value);
    }
}

impl Service {
    /// Records an attempt's time from start to first token.
    pub fn record_first_token(&mut self, settings: &Config, class: Class, prompt: u32, took: Span) {
        let prompt = f64::from(prompt);
        let took = took.as_millis() as f64;
        self.fits[class as usize].record(prompt, took, settings.smoothing);
        let ratio = took / (prompt + PROMPT_OVERHEAD_TOKENS);
        let idle = self.idle_ratio.get_or_insert(ratio);
        let weight = match ratio < *idle {
            true => FASTER_WEIGHT,
            false => SLOWER_WEIGHT * settings.smoothing,
        };
        *idle += weight * (ratio - *idle);
    }

    /// Records a completed attempt's duration and cost.
    pub fn record_end(&mut self, settings: &Config, cost: Cost, took: Span) {
        self.duration
            .record(took.as_millis() as f64, settings.smoothing);
        self.cost.record(cost as f64, settings.smoothing);
    }

    /// Returns the mean duration of completed attempts; zero before the first one.
    pub fn mean_duration(&self) -> Span {
        millis(self.duration.value)
    }

    /// Returns the expected time from start to first token, at least that of an idle replica.
    pub fn first_token_time(&self, class: Class, prompt: u32) -> Span {
        let idle = self.idle_time(prompt);
        let predicted = self.fits[class as usize].predict(f64::from(prompt));
        millis(predicted.unwrap_or(idle).max(idle))
    }

    /// Returns the expected time to first token on an idle replica, in milliseconds.
    fn idle_time(&self, prompt: u32) -> f64 {
        self.idle_ratio.unwrap_or(0.0) * (f64::from(prompt) + PROMPT_OVERHEAD_TOKENS)
    }

    /// Returns the time that a job has for its first token: its target, or more if even an idle
    /// replica takes longer, since the job would otherwise always be refused.
    pub fn allowed_time(&self, settings: &Config, target: Span, prompt: u32) -> Span {
        let idle = self.idle_time(prompt);
        if idle <= target.as_millis() as f64 {
            return target;
        }
        millis(idle * settings.stretch)
    }

    /// Returns the cost completed per second with `running` attempts in flight, or `None` before
    /// the first completion.
    pub fn drain_rate(&self, running: u32) -> Option<f64> {
        if self.duration.count == 0.0 || self.duration.value <= 0.0 {
            return None;
        }
        let running = f64::from(running.max(1));
        Some(running * self.cost.value / self.duration.value * 1_000.0)
    }
}

/// Returns the time to serve the cost `ahead` at `rate` per second.
pub fn wait_time(ahead: Cost, rate: Option<f64>) -> Span {
    match rate {
        Some(rate) if rate > 0.0 => millis(ahead as f64 / rate * 1_000.0),
        _ => Span::ZERO,
    }
}

fn millis(value: f64) -> Span {
    Span::from_millis(value.max(0.0) as u64)
}

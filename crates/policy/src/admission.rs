//! Admission by predicted time to the first token, against the account's target.
//!
//! Load pattern: a burst beyond capacity. Without admission the queue grows until every answer in it
//! is late: the fleet works at full power and no caller is served in time, long after the burst.
//!
//! The wait is what is ahead in the queue over the rate at which this entry's attempts end (Little's
//! law: attempts running, over their mean duration). It follows a lost zone at once, since the number
//! running falls with it. The time from start to first token is a straight line over prompt length,
//! fitted to what was observed. A job is refused at once when both together exceed its target.

use clock::Span;

use crate::configs::admission::Config;
use crate::fair::Cost;
use crate::size::Class;

/// An idle replica's time is taken from the quickest answers: the estimate falls by this part of the
/// difference, and rises by the other part of what the means do.
const FALL: f64 = 0.5;
const RISE: f64 = 0.02;
/// Added to prompt lengths when a time is divided by one: the part of the time that isn't prompt.
const PROMPT_BASE: f64 = 100.0;

/// What one pool's replicas were observed to take.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// By class: a line through short prompts says nothing of ones twenty times as long.
    lines: [Line; 2],
    idle: Option<f64>,
    duration: Mean,
    cost: Mean,
}

/// Time to the first token over prompt length.
#[derive(Clone, Debug, Default)]
struct Line {
    prompt: Mean,
    first: Mean,
    prompt_squared: Mean,
    product: Mean,
}

impl Line {
    fn note(&mut self, prompt: f64, took: f64, smoothing: f64) {
        self.prompt.note(prompt, smoothing);
        self.first.note(took, smoothing);
        self.prompt_squared.note(prompt * prompt, smoothing);
        self.product.note(prompt * took, smoothing);
    }

    /// The time to expect; none before anything was observed.
    fn at(&self, prompt: f64) -> Option<f64> {
        if self.first.seen == 0.0 {
            return None;
        }
        let variance = self.prompt_squared.value - self.prompt.value * self.prompt.value;
        let covariance = self.product.value - self.prompt.value * self.first.value;
        let slope = if variance > 1.0 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        Some(self.first.value + slope * (prompt - self.prompt.value))
    }
}

/// A running mean; the first observations count in full.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    seen: f64,
}

impl Mean {
    fn note(&mut self, value: f64, smoothing: f64) {
        self.seen += 1.0;
        let weight = smoothing.max(1.0 / self.seen);
        self.value += weight * (value - self.value);
    }
}

impl Service {
    /// Notes an attempt's time from start to first token.
    pub fn record_first_token(&mut self, settings: &Config, class: Class, prompt: u32, took: Span) {
        let prompt = f64::from(prompt);
        let took = took.as_millis() as f64;
        self.lines[class as usize].note(prompt, took, settings.smoothing);
        let ratio = took / (prompt + PROMPT_BASE);
        let idle = self.idle.get_or_insert(ratio);
        let weight = match ratio < *idle {
            true => FALL,
            false => RISE * settings.smoothing,
        };
        *idle += weight * (ratio - *idle);
    }

    /// Notes an attempt's whole duration and cost.
    pub fn record_end(&mut self, settings: &Config, cost: Cost, took: Span) {
        self.duration
            .note(took.as_millis() as f64, settings.smoothing);
        self.cost.note(cost as f64, settings.smoothing);
    }

    /// Time from start to first token to expect; at least that of an idle replica.
    pub fn first_token_time(&self, class: Class, prompt: u32) -> Span {
        let idle = self.idle(prompt);
        let line = self.lines[class as usize].at(f64::from(prompt));
        millis(line.unwrap_or(idle).max(idle))
    }

    /// The same on an idle replica.
    fn idle(&self, prompt: u32) -> f64 {
        self.idle.unwrap_or(0.0) * (f64::from(prompt) + PROMPT_BASE)
    }

    /// The time that a job has for its first token: its target, or more if even an idle replica
    /// takes longer (else it would be refused for ever).
    pub fn allowed_time(&self, settings: &Config, target: Span, prompt: u32) -> Span {
        let idle = self.idle(prompt);
        if idle <= target.as_millis() as f64 {
            return target;
        }
        millis(idle * settings.stretch)
    }

    /// Cost that ends in a second while so many attempts run; none before anything has ended.
    pub fn drain_rate(&self, running: u32) -> Option<f64> {
        if self.duration.seen == 0.0 || self.duration.value <= 0.0 {
            return None;
        }
        let running = f64::from(running.max(1));
        Some(running * self.cost.value / self.duration.value * 1_000.0)
    }
}

/// Time until so much has been served at that rate.
pub fn wait_time(ahead: Cost, rate: Option<f64>) -> Span {
    match rate {
        Some(rate) if rate > 0.0 => millis(ahead as f64 / rate * 1_000.0),
        _ => Span::ZERO,
    }
}

fn millis(value: f64) -> Span {
    Span::from_millis(value.max(0.0) as u64)
}

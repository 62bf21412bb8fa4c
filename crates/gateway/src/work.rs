//! Estimates of the work that arrives for each service, and of the speed of its replicas.
//!
//! Work is measured in prompt tokens to process: the part of the prompt that a request doesn't share, plus a
//! small amount per generated token. Shared parts are processed once and cached. The speed of a replica is
//! estimated from the time to the first token of the faster answers, since slower ones waited in a queue.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::arrival::Prompt;

/// Prompt tokens that a generated token counts as. In a batch it adds some hundredths of a millisecond to a
/// step, as one to two prompt tokens do.
const OUTPUT_TOKEN_WEIGHT: u64 = 2;
/// Fewest unshared tokens for an estimate of the speed; with less, the time is mostly that of one step.
const MIN_UNSHARED_TOKENS: u64 = 1_000;
/// Time to the first token that isn't spent on the prompt.
const FIRST_TOKEN_OVERHEAD: Span = Span::from_millis(8);
/// Weights of a faster and of a slower answer in the moving average of the speed, so that it settles near the
/// fastest. With a larger weight for slower ones it followed the queueing delays of an overload, and replicas
/// were ordered for three times the work.
const SPEED_RISE_WEIGHT: f64 = 0.06;
const SPEED_FALL_WEIGHT: f64 = 0.003;
/// Weights of a sample above and below the moving average of the arrival rate. A rise takes effect within two
/// to three seconds, since replicas need four to start; a fall within ten, since stopping one too many costs
/// more than running it for some seconds.
const RATE_RISE_WEIGHT: f64 = 0.4;
const RATE_FALL_WEIGHT: f64 = 0.1;

/// Work of one service that an entry has seen since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Work {
    /// Prompt tokens to process, over all requests.
    pub tokens: u64,
    /// Those of requests refused before they ran, which are counted again when their callers retry.
    pub returned: u64,
    /// Prompt tokens per millisecond that a replica processes; 0 while unknown.
    pub speed: f64,
}

impl Work {
    /// Records the work of an arriving request.
    pub fn record_arrived(&mut self, tokens: u64) {
        self.tokens += tokens;
    }

    /// Records the work of a request that was refused before it ran.
    ///
    /// Guards against counting a request again with each retry: in an overload of twice the requests, five
    /// times the work was counted, and replicas were ordered for it.
    pub fn record_refused(&mut self, tokens: u64) {
        self.returned += tokens;
    }

    /// Adds another entry's counts.
    pub fn add(&mut self, other: &Work) {
        self.tokens += other.tokens;
        self.returned += other.returned;
    }

    /// Returns the work counted since an earlier snapshot.
    pub fn since(&self, before: &Work) -> Work {
        Work {
            tokens: self.tokens.saturating_sub(before.tokens),
            returned: self.returned.saturating_sub(before.returned),
            speed: self.speed,
        }
    }

    /// Returns the tokens without those of refused requests.
    pub fn net_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.returned)
    }

    /// Updates the speed by the time to the first token of a request with `unshared_tokens`, as a replica of median
    /// speed would have taken. Otherwise the fleet is planned for the speed of the fastest replicas.
    pub fn observe_first_token(&mut self, unshared_tokens: u64, took: Span) {
        let processing_time = took - FIRST_TOKEN_OVERHEAD;
        if unshared_tokens < MIN_UNSHARED_TOKENS || processing_time == Span::ZERO {
            return;
        }
        let speed = unshared_tokens as f64 / processing_time.as_millis() as f64;
        if self.speed == 0.0 {
            self.speed = speed;
        }
        let weight = match speed > self.speed {
            true => SPEED_RISE_WEIGHT,
            false => SPEED_FALL_WEIGHT,
        };
        // Limits the effect of an answer that was far too fast because most of its prompt was cached after
        // all.
        let speed = speed.min(self.speed * 2.0);
        self.speed += weight * (speed - self.speed);
    }
}

/// Returns the median of the known speeds; 0 if there is none.
///
/// Guards against an outlier: one entry took a cached part of its first prompt for unprocessed, and with the
/// fastest entry's speed the fleet was planned for a seventeenth of the work and stopped under full load.
pub fn median_speed(speeds: impl Iterator<Item = f64>) -> f64 {
    let mut speeds: Vec<f64> = speeds.filter(|speed| *speed > 0.0).collect();
    speeds.sort_by(f64::total_cmp);
    speeds.get(speeds.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the work of a request, in prompt tokens.
pub fn request_work(prompt: &Prompt) -> u64 {
    let output = prompt.expected_tokens.unwrap_or(prompt.max_new_tokens);
    let output = output.min(prompt.max_new_tokens);
    unshared_tokens(prompt) + u64::from(output) * OUTPUT_TOKEN_WEIGHT
}

/// Returns the prompt tokens that no other request shares.
pub fn unshared_tokens(prompt: &Prompt) -> u64 {
    match prompt.parts.last() {
        Some(own) => u64::from(own.tokens),
        None => u64::from(prompt.tokens),
    }
}

/// Arrival rate of work over all entries.
///
/// Counts received from an entry for the first time cover everything since its start. Taken as new work, they
/// made 11 busy replicas look like 68, and 36 on-demand replicas were kept for half a minute. Only the
/// increase over a peer's previous counts is added.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Arrival rates by service.
    rates: BTreeMap<SmolStr, Rate>,
}

/// Arrival rate of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Increases of peers' counts since they were first received, in tokens.
    peer_tokens: u64,
    /// Tokens of all entries at the last sample.
    sampled_tokens: u64,
    sampled_at: Time,
    /// Moving average of the arrivals.
    tokens_per_milli: f64,
}

/// Shortest time between two samples.
const SAMPLE_INTERVAL: Span = Span::from_millis(1_000);

impl Demand {
    /// Adds the increase of a peer's counts since its previous report, `elapsed` ago.
    pub fn add_peer_tokens(&mut self, service: &SmolStr, increase: u64, elapsed: Span) {
        let rate = self.rates.entry(service.clone()).or_default();
        // After a gap, the increase spreads over all of that time, not just the last sample.
        let share =
            SAMPLE_INTERVAL.as_millis() as f64 / elapsed.max(SAMPLE_INTERVAL).as_millis() as f64;
        rate.peer_tokens += (increase as f64 * share) as u64;
    }

    /// Samples the arrivals of a service; this entry has counted `own_tokens` in total.
    pub fn sample(&mut self, now: Time, service: &SmolStr, own_tokens: u64) {
        let rate = self.rates.entry(service.clone()).or_default();
        let elapsed = now.since(rate.sampled_at);
        let tokens = own_tokens + rate.peer_tokens;
        if rate.sampled_at == Time::ZERO {
            rate.sampled_tokens = tokens;
            rate.sampled_at = now;
            return;
        }
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        let arrival_rate =
            tokens.saturating_sub(rate.sampled_tokens) as f64 / elapsed.as_millis() as f64;
        let weight = match arrival_rate > rate.tokens_per_milli {
            true if rate.tokens_per_milli == 0.0 => 1.0,
            true => RATE_RISE_WEIGHT,
            false => RATE_FALL_WEIGHT,
        };
        rate.tokens_per_milli += weight * (arrival_rate - rate.tokens_per_milli);
        rate.sampled_tokens = tokens;
        rate.sampled_at = now;
    }

    /// Returns how many replicas of this speed, in tokens per millisecond, the arrivals keep busy.
    pub fn replicas(&self, service: &SmolStr, speed: f64) -> Option<f64> {
        let rate = self.rates.get(service)?;
        (speed > 0.0).then(|| rate.tokens_per_milli / speed)
    }
}

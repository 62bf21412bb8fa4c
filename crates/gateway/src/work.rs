//! How much work arrives for each service, and how fast its replicas are.
//!
//! Work is counted in prompt tokens that must be read: the request's own part of its prompt, and a
//! little for each token that is generated. The part that requests share is read once and kept. The
//! speed of a replica is learnt from the time to the first token, by the quicker answers: the slower ones
//! waited behind others.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::arrival::Prompt;

/// Prompt tokens that a generated token counts as. In a batch it adds some hundredths of a millisecond to
/// a step, as one to two prompt tokens do.
const OUTPUT_TOKEN_WEIGHT: u64 = 2;
/// Shorter prompts say little of the speed: their time is mostly that of a step.
const MIN_UNSHARED_TOKENS: u64 = 1_000;
/// Time to the first token that isn't reading.
const FIRST_TOKEN_OVERHEAD: Span = Span::from_millis(8);
/// The speed rises by this part of the difference towards a quicker answer, and falls by a twentieth of
/// that towards a slower one: it settles near the quickest. Falling faster it followed the waits of an
/// overload, and replicas were ordered for three times the work.
const SPEED_RISE_WEIGHT: f64 = 0.06;
const SPEED_FALL_WEIGHT: f64 = 0.003;
/// Weight of a second's arrivals in the rate, for rises and falls: a rise is believed within two or three
/// seconds, since replicas take four to start; a fall within ten, since stopping one too many costs more
/// than running it for some seconds.
const RATE_RISE_WEIGHT: f64 = 0.4;
const RATE_FALL_WEIGHT: f64 = 0.1;

/// What one entry has seen of one service since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Work {
    /// Prompt tokens that had to be read, all requests together.
    pub tokens: u64,
    /// Those of requests that were refused before they ran: their callers come back, and they count again then.
    pub returned: u64,
    /// Prompt tokens that a replica reads in a millisecond; 0 while unknown.
    pub speed: f64,
}

impl Work {
    /// Work arrived with a request.
    pub fn record_arrived(&mut self, tokens: u64) {
        self.tokens += tokens;
    }

    /// A request was refused before it ran.
    ///
    /// Guards against counting one request as often as its caller comes back: in an overload five times the work was
    /// measured of twice the requests, and replicas were ordered for it.
    pub fn record_refused(&mut self, tokens: u64) {
        self.returned += tokens;
    }

    /// Adds another entry's counts.
    pub fn add(&mut self, other: &Work) {
        self.tokens += other.tokens;
        self.returned += other.returned;
    }

    /// What came since an earlier count.
    pub fn since(&self, before: &Work) -> Work {
        Work {
            tokens: self.tokens.saturating_sub(before.tokens),
            returned: self.returned.saturating_sub(before.returned),
            speed: self.speed,
        }
    }

    /// Tokens of requests that came for the first time, as far as known.
    pub fn net_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.returned)
    }

    /// The first token of a request came after `took` at its replica; `own` tokens had to be read.
    pub fn observe_first_token(&mut self, own: u64, took: Span) {
        let reading = took - FIRST_TOKEN_OVERHEAD;
        if own < MIN_UNSHARED_TOKENS || reading == Span::ZERO {
            return;
        }
        let speed = own as f64 / reading.as_millis() as f64;
        if self.speed == 0.0 {
            self.speed = speed;
        }
        let weight = match speed > self.speed {
            true => SPEED_RISE_WEIGHT,
            false => SPEED_FALL_WEIGHT,
        };
        // One answer that was far too quick, from a part thought to be unread, must not count for more.
        let speed = speed.min(self.speed * 2.0);
        self.speed += weight * (speed - self.speed);
    }
}

/// The speed as most entries see it; 0 if none knows one.
///
/// Guards against an entry whose first answer came from a part of a prompt that it took for unread: with the
/// quickest entry's speed the fleet was planned for a seventeenth of the work, and stopped under full load.
pub fn median_speed(speeds: impl Iterator<Item = f64>) -> f64 {
    let mut speeds: Vec<f64> = speeds.filter(|speed| *speed > 0.0).collect();
    speeds.sort_by(f64::total_cmp);
    speeds.get(speeds.len() / 2).copied().unwrap_or(0.0)
}

/// What a request counts as.
pub fn request_work(prompt: &Prompt) -> u64 {
    let output = prompt.expected_tokens.unwrap_or(prompt.max_new_tokens);
    let output = output.min(prompt.max_new_tokens);
    unshared_tokens(prompt) + u64::from(output) * OUTPUT_TOKEN_WEIGHT
}

/// Tokens of the prompt that no other request shares.
pub fn unshared_tokens(prompt: &Prompt) -> u64 {
    match prompt.parts.last() {
        Some(own) => u64::from(own.tokens),
        None => u64::from(prompt.tokens),
    }
}

/// Replicas' worth of work that arrives, over all entries.
///
/// Guards against counts that an entry hears of for the first time: they tell of all that came since the other one
/// started. Taken for fresh work, they made 68 busy replicas of 11, and 36 on-demand ones were kept for half a minute.
/// So only what others tell more than they told before counts.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// By service.
    rates: BTreeMap<SmolStr, Rate>,
}

/// One service's arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// What peers told since they were heard first, tokens.
    peer_tokens: u64,
    /// All entries' tokens when they were last looked at.
    sampled_tokens: u64,
    sampled_at: Time,
    /// Tokens a millisecond.
    tokens_per_milli: f64,
}

/// Time over which arrivals are counted for one look.
const SAMPLE_INTERVAL: Span = Span::from_millis(1_000);

impl Demand {
    /// Notes what a peer tells of a service beyond what it told `silent` ago.
    pub fn add_peer_tokens(&mut self, service: &SmolStr, rise: u64, silent: Span) {
        let rate = self.rates.entry(service.clone()).or_default();
        // After a silence it came over all of that time, not since the last look.
        let share =
            SAMPLE_INTERVAL.as_millis() as f64 / silent.max(SAMPLE_INTERVAL).as_millis() as f64;
        rate.peer_tokens += (rise as f64 * share) as u64;
    }

    /// Looks at what all entries have seen of a service by now, `own` of it here.
    pub fn sample(&mut self, now: Time, service: &SmolStr, own: u64) {
        let rate = self.rates.entry(service.clone()).or_default();
        let passed = now.since(rate.sampled_at);
        let tokens = own + rate.peer_tokens;
        if rate.sampled_at == Time::ZERO {
            rate.sampled_tokens = tokens;
            rate.sampled_at = now;
            return;
        }
        if passed < SAMPLE_INTERVAL {
            return;
        }
        let fresh = tokens.saturating_sub(rate.sampled_tokens) as f64 / passed.as_millis() as f64;
        let weight = match fresh > rate.tokens_per_milli {
            true if rate.tokens_per_milli == 0.0 => 1.0,
            true => RATE_RISE_WEIGHT,
            false => RATE_FALL_WEIGHT,
        };
        rate.tokens_per_milli += weight * (fresh - rate.tokens_per_milli);
        rate.sampled_tokens = tokens;
        rate.sampled_at = now;
    }

    /// How many replicas of this speed, tokens a millisecond, the arrivals keep busy.
    pub fn replicas(&self, service: &SmolStr, speed: f64) -> Option<f64> {
        let rate = self.rates.get(service)?;
        (speed > 0.0).then(|| rate.tokens_per_milli / speed)
    }
}

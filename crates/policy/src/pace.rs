//! Rate limits that an overloaded replica sets for all entries together.
//!
//! An overloaded replica announces how many requests per second it accepts. Entries know only their own
//! requests: without a limit the replica fails, and if each entry kept to the whole limit by itself the
//! replica would receive a multiple of it.
//!
//! The limit is divided among a few senders, the first entries in the replica's rendezvous order
//! ([`crate::rendezvous`]), so no message is needed per request and each sender's share is large enough for
//! whole requests. The other entries use other replicas.

use clock::Span;
use clock::Time;

use crate::configs::pace::Config;
use crate::rendezvous;

/// Request rate, requests per thousand seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(pub u32);

impl Rate {
    /// Converts requests per second; returns `None` for a negative or non-finite rate.
    pub fn per_second(requests: f64) -> Option<Rate> {
        const UNITS: f64 = 1_000.0;
        let valid = requests.is_finite() && requests >= 0.0;
        valid.then(|| Rate((requests * UNITS).min(f64::from(u32::MAX)) as u32))
    }

    /// Returns the rate in requests per second.
    pub fn requests_per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    fn per_milli(self) -> f64 {
        self.requests_per_second() / 1_000.0
    }
}

/// Share of one entry in a replica's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// The replica sets no limit.
    Unlimited,
    /// Other entries use the whole limit.
    Nothing,
    /// Rate that this entry may send.
    Part(Rate),
}

/// Returns the share of the entry `me` in a replica's limit; `entries` are all that may send.
pub fn share(config: &Config, replica: u64, limit: Rate, entries: &[u64], me: u64) -> Share {
    let limit = limit.max(config.min_rate);
    let senders = (limit.0 / config.min_share.0).max(1) as usize;
    let senders = senders.min(entries.len());
    match rendezvous::is_among_first(replica, entries, senders, me) {
        true => Share::Part(Rate(limit.0 / senders as u32)),
        false => Share::Nothing,
    }
}

/// Admits requests of one entry to a replica.
#[derive(Clone, Copy, Debug, Default)]
pub enum Gate {
    /// The replica sets no limit.
    #[default]
    Unlimited,
    /// Other entries use the whole limit.
    Closed,
    /// This entry sends at a limited rate.
    Paced(Pace),
}

impl Gate {
    /// Applies a new share and keeps the saved tokens.
    pub fn set(&mut self, config: &Config, now: Time, share: Share) {
        *self = match (&self, share) {
            (_, Share::Unlimited) => Gate::Unlimited,
            (_, Share::Nothing) => Gate::Closed,
            (Gate::Paced(pace), Share::Part(rate)) => {
                Gate::Paced(pace.with_rate(config, now, rate))
            }
            (_, Share::Part(rate)) => Gate::Paced(Pace::new(config, now, rate)),
        };
    }

    /// Returns whether the replica sets a limit.
    pub fn is_limited(&self) -> bool {
        !matches!(self, Gate::Unlimited)
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self, now: Time) -> bool {
        match self {
            Gate::Unlimited => true,
            Gate::Closed => false,
            Gate::Paced(pace) => pace.is_open(now),
        }
    }

    /// Returns when a request may be sent next; `None` while the gate is closed.
    pub fn opens_at(&self) -> Option<Time> {
        match self {
            Gate::Unlimited => Some(Time::ZERO),
            Gate::Closed => None,
            Gate::Paced(pace) => Some(pace.opens_at()),
        }
    }

    /// Returns the requests per second that this entry may send; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        match self {
            Gate::Unlimited => None,
            Gate::Closed => Some(0.0),
            Gate::Paced(pace) => Some(pace.rate.requests_per_second()),
        }
    }

    /// Takes a token for a request that is sent.
    pub fn take(&mut self, now: Time) {
        if let Gate::Paced(pace) = self {
            pace.take(now);
        }
    }
}

/// Token bucket for the requests that one entry sends to a rate-limited replica.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: Rate,
    /// Capacity, requests.
    capacity: f64,
    /// Requests that could be sent at `refilled_at`.
    tokens: f64,
    refilled_at: Time,
}

impl Pace {
    /// Creates a bucket that holds one request.
    pub fn new(config: &Config, now: Time, rate: Rate) -> Pace {
        let bucket = Pace {
            rate,
            capacity: 1.0,
            tokens: 1.0,
            refilled_at: now,
        };
        bucket.with_rate(config, now, rate)
    }

    /// Returns the bucket at another rate, with its tokens capped at the new capacity.
    fn with_rate(&self, config: &Config, now: Time, rate: Rate) -> Pace {
        let capacity = (rate.per_milli() * config.burst_time.as_millis() as f64).max(1.0);
        Pace {
            rate,
            capacity,
            tokens: self.tokens_at(now).min(capacity),
            refilled_at: now,
        }
    }

    /// Returns whether a request may be sent now.
    fn is_open(&self, now: Time) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Returns when a request may be sent next.
    fn opens_at(&self) -> Time {
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = missing / self.rate.per_milli().max(f64::MIN_POSITIVE);
        self.refilled_at + Span::from_millis(wait.ceil().min(u32::MAX.into()) as u64)
    }

    /// Takes a token for a request that is sent.
    fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let refilled = self.rate.per_milli() * now.since(self.refilled_at).as_millis() as f64;
        (self.tokens + refilled).min(self.capacity)
    }
}

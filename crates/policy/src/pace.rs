//! How fast requests may be handed to a replica in need.
//!
//! Load pattern: a replica in need names how many requests a second it takes from all entries together. Each entry
//! knows its own requests only; if all go on as usual the replica fails, and if each keeps to the limit alone it gets
//! many times that.
//!
//! The limit is dealt to a few entries, the first ones in the replica's order of entries ([`crate::rendezvous`]), so
//! that no message is needed for a request and each sender has a whole request now and then. The others choose other
//! replicas.

use std::cmp::Reverse;

use clock::Span;
use clock::Time;

use crate::configs::pace::Config;
use crate::rendezvous;

/// Requests in a thousand seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(pub u32);

impl Rate {
    /// So many requests a second; none for what is no rate.
    pub fn per_second(requests: f64) -> Option<Rate> {
        const UNITS: f64 = 1_000.0;
        let valid = requests.is_finite() && requests >= 0.0;
        valid.then(|| Rate((requests * UNITS).min(f64::from(u32::MAX)) as u32))
    }

    /// Requests a second.
    pub fn requests_per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    fn per_milli(self) -> f64 {
        self.requests_per_second() / 1_000.0
    }
}

/// What one entry may hand to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// As much as it likes.
    Unlimited,
    /// Nothing: the replica is in need, and others send what it takes.
    Nothing,
    /// So much of what the replica takes.
    Part(Rate),
}

/// What the entry `me` may send of what a replica in need takes. `entries` are those that may send.
pub fn share(config: &Config, replica: u64, limit: Rate, entries: &[u64], me: u64) -> Share {
    let limit = limit.max(config.least);
    let senders = (limit.0 / config.sender.0).max(1) as usize;
    let senders = senders.min(entries.len());
    let mut ranked = entries.to_vec();
    ranked.sort_by_key(|entry| Reverse(rendezvous::weight(replica, *entry)));
    let sends = ranked.iter().take(senders).any(|entry| *entry == me);
    match sends {
        true => Share::Part(Rate(limit.0 / senders as u32)),
        false => Share::Nothing,
    }
}

/// Whether one entry may hand a request to a replica.
#[derive(Clone, Copy, Debug, Default)]
pub enum Gate {
    /// The replica has named no limit.
    #[default]
    Free,
    /// It has, and others send to it.
    Closed,
    /// It has, and this entry sends at a pace.
    Paced(Pace),
}

impl Gate {
    /// Goes over to another share; what was saved up stays.
    pub fn set(&mut self, config: &Config, now: Time, share: Share) {
        *self = match (&self, share) {
            (_, Share::Unlimited) => Gate::Free,
            (_, Share::Nothing) => Gate::Closed,
            (Gate::Paced(pace), Share::Part(rate)) => Gate::Paced(pace.at(config, now, rate)),
            (_, Share::Part(rate)) => Gate::Paced(Pace::new(config, now, rate)),
        };
    }

    /// Whether the replica has named a limit.
    pub fn is_limited(&self) -> bool {
        !matches!(self, Gate::Free)
    }

    /// Whether a request may be handed over.
    pub fn is_open(&self, now: Time) -> bool {
        match self {
            Gate::Free => true,
            Gate::Closed => false,
            Gate::Paced(pace) => pace.is_open(now),
        }
    }

    /// When that is so next; none while it is closed.
    pub fn opens_at(&self) -> Option<Time> {
        match self {
            Gate::Free => Some(Time::ZERO),
            Gate::Closed => None,
            Gate::Paced(pace) => Some(pace.opens_at()),
        }
    }

    /// Requests a second that this entry may hand over; none where there is no limit.
    pub fn rate(&self) -> Option<f64> {
        match self {
            Gate::Free => None,
            Gate::Closed => Some(0.0),
            Gate::Paced(pace) => Some(pace.rate.requests_per_second()),
        }
    }

    /// Notes that a request is handed over.
    pub fn take(&mut self, now: Time) {
        if let Gate::Paced(pace) = self {
            pace.take(now);
        }
    }
}

/// How fast one entry hands requests to a replica in need.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: Rate,
    /// Most that is saved up, requests.
    most: f64,
    /// Requests that may be handed over now.
    left: f64,
    filled: Time,
}

impl Pace {
    /// A pace with one request to begin with.
    pub fn new(config: &Config, now: Time, rate: Rate) -> Pace {
        let begun = Pace {
            rate,
            most: 1.0,
            left: 1.0,
            filled: now,
        };
        begun.at(config, now, rate)
    }

    /// The same at another rate; what was saved up stays.
    fn at(&self, config: &Config, now: Time, rate: Rate) -> Pace {
        let most = (rate.per_milli() * config.saved.as_millis() as f64).max(1.0);
        Pace {
            rate,
            most,
            left: self.left_at(now).min(most),
            filled: now,
        }
    }

    /// Whether a request may be handed over.
    fn is_open(&self, now: Time) -> bool {
        self.left_at(now) >= 1.0
    }

    /// When that is so next.
    fn opens_at(&self) -> Time {
        let missing = (1.0 - self.left).max(0.0);
        let wait = missing / self.rate.per_milli().max(f64::MIN_POSITIVE);
        self.filled + Span::from_millis(wait.ceil().min(u32::MAX.into()) as u64)
    }

    /// Notes that a request is handed over.
    fn take(&mut self, now: Time) {
        self.fill(now);
        self.left -= 1.0;
    }

    fn fill(&mut self, now: Time) {
        self.left = self.left_at(now);
        self.filled = now;
    }

    fn left_at(&self, now: Time) -> f64 {
        let came = self.rate.per_milli() * now.since(self.filled).as_millis() as f64;
        (self.left + came).min(self.most)
    }
}

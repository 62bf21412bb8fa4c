//! Work that callers offer, by service, level and account, over all entries.
//!
//! Load pattern: more is asked than the replicas carry, through many entries of which each sees a few requests a
//! second. An entry that knows its own requests alone can't tell whether there is capacity for all of them.
//!
//! Each entry states the present rate of the work that arrives there. Rates of different entries add up, and a
//! message replaces the sender's previous one, so that lost and repeated messages have no lasting effect.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Time constant of the moving average. An exponential average with this constant varies as much as a mean over
/// twice the time, which is one second, and has covered 86 % of a step after that second.
const TIME_CONSTANT: Span = Span::from_millis(500);
/// Rates below this, in prompt tokens per second, are dropped: 500 tokens have decayed to it after 3.5 s.
const MIN_RATE: f64 = 1.0;

/// Requests that a plan treats alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// Priority of the account and rank of the route, as in the scheduler's queue; 0 is the most urgent.
    pub level: u8,
    /// Hash of the account's name.
    pub account: u32,
}

/// A class and the rate of its work, in prompt tokens per second, as it is sent.
type Row = (u8, u32, u32);

/// Rates of offered work of one service, in prompt tokens per second. Invariant: no rate is zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Vec<Row>", from = "Vec<Row>")]
pub struct Rates(BTreeMap<Class, u32>);

/// Rates of offered work by service.
pub type Offered = BTreeMap<SmolStr, Rates>;

impl Rates {
    /// Adds work of a class.
    pub fn add(&mut self, class: Class, rate: u32) {
        if rate > 0 {
            let into = self.0.entry(class).or_default();
            *into = into.saturating_add(rate);
        }
    }

    /// Returns the classes and their rates, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (Class, u32)> {
        self.0.iter().map(|(class, rate)| (*class, *rate))
    }

    /// Returns whether nothing is offered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the rate of all classes together.
    pub fn total(&self) -> u64 {
        self.0.values().map(|rate| u64::from(*rate)).sum()
    }

    /// Adds the rates of another entry.
    pub fn merge(&mut self, other: &Rates) {
        for (class, rate) in other.iter() {
            self.add(class, rate);
        }
    }

    /// Returns the rates without those of one of the entries that were added.
    pub fn without(&self, other: &Rates) -> Rates {
        let mut rest = Rates::default();
        for (class, rate) in self.iter() {
            let theirs = other.0.get(&class).copied().unwrap_or(0);
            rest.add(class, rate.saturating_sub(theirs));
        }
        rest
    }
}

/// Rates of the work that arrives at one entry, as an exponential moving average for each class.
#[derive(Clone, Debug, Default)]
pub struct Meter(BTreeMap<Class, Average>);

/// Moving average of one class.
#[derive(Clone, Copy, Debug)]
struct Average {
    /// Work per second at `at`.
    rate: f64,
    at: Time,
}

impl Average {
    /// Returns the rate at `now`, without any work since the last arrival.
    fn rate_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.at).as_millis() as f64;
        self.rate * (-elapsed / TIME_CONSTANT.as_millis() as f64).exp()
    }
}

impl Meter {
    /// Records an arrival of `work` prompt tokens.
    pub fn record(&mut self, now: Time, class: Class, work: u64) {
        let average = self
            .0
            .entry(class)
            .or_insert(Average { rate: 0.0, at: now });
        let added = work as f64 * 1_000.0 / TIME_CONSTANT.as_millis() as f64;
        *average = Average {
            rate: average.rate_at(now) + added,
            at: now,
        };
    }

    /// Returns the present rates and drops the classes whose rate has decayed.
    pub fn rates(&mut self, now: Time) -> Rates {
        self.0.retain(|_, average| average.rate_at(now) >= MIN_RATE);
        let mut rates = Rates::default();
        for (class, average) in &self.0 {
            rates.add(*class, average.rate_at(now).round() as u32);
        }
        rates
    }

    /// Returns whether no class has a rate.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The latest rates that other entries reported, by sender.
///
/// Rates are not counts: a report replaces the sender's previous one, so that a repeated or lost report leaves no
/// error behind, and a sender that ends or restarts is forgotten when its report expires.
#[derive(Clone, Debug, Default)]
pub struct Reports(BTreeMap<u64, Report>);

/// The latest report of one sender.
#[derive(Clone, Debug)]
struct Report {
    received_at: Time,
    offered: Offered,
}

impl Reports {
    /// Replaces the report of a sender.
    pub fn record(&mut self, now: Time, sender: u64, offered: Offered) {
        let report = Report {
            received_at: now,
            offered,
        };
        self.0.insert(sender, report);
    }

    /// Drops the reports older than `max_age`.
    pub fn expire(&mut self, now: Time, max_age: Span) {
        self.0
            .retain(|_, report| now.since(report.received_at) <= max_age);
    }

    /// Drops all reports.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns when the newest report arrived; `None` without any.
    pub fn newest(&self) -> Option<Time> {
        self.0.values().map(|report| report.received_at).max()
    }

    /// Returns the sum of a service's rates over all senders.
    pub fn sum(&self, service: &str) -> Rates {
        let mut sum = Rates::default();
        let reports = self.0.values();
        for rates in reports.filter_map(|report| report.offered.get(service)) {
            sum.merge(rates);
        }
        sum
    }
}

impl From<Vec<Row>> for Rates {
    fn from(rows: Vec<Row>) -> Rates {
        let mut rates = Rates::default();
        for (level, account, rate) in rows {
            rates.add(Class { level, account }, rate);
        }
        rates
    }
}

impl From<Rates> for Vec<Row> {
    fn from(rates: Rates) -> Vec<Row> {
        let rows = rates.iter();
        rows.map(|(class, rate)| (class.level, class.account, rate))
            .collect()
    }
}

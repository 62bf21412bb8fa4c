//! Work that callers offer, by service, level and account, over all entries.
//!
//! Load pattern: more is asked than the replicas carry, through many entries of which each sees a few requests a
//! second. An entry that knows its own requests alone can't tell whether there is capacity for all of them.
//!
//! Each entry states the present rate of the work that arrives there. Rates of different entries add up, and a
//! message replaces the sender's previous one, so that lost and repeated messages have no lasting effect.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

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

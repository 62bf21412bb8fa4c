//! Counts of answers by route and version, which each entry keeps and the leader adds up.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Counts of one version's answers on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All answers.
    pub answers: u64,
    /// Answers that failed, were cut off, or were much slower than usual.
    pub bad: u64,
}

/// Counts of both versions' answers on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The version in use.
    pub old: Count,
    /// The canary version.
    pub new: Count,
}

/// Counts of answers since an order, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The revision of the order.
    pub order: u64,
    /// Counts by route.
    pub routes: BTreeMap<SmolStr, Pair>,
}

impl Count {
    fn add(&mut self, other: Count) {
        self.answers += other.answers;
        self.bad += other.bad;
    }

    fn subtract(&mut self, other: Count) {
        self.answers = self.answers.saturating_sub(other.answers);
        self.bad = self.bad.saturating_sub(other.bad);
    }
}

impl Tally {
    /// Creates an empty tally for an order.
    pub fn new(order: u64) -> Tally {
        Tally {
            order,
            routes: BTreeMap::new(),
        }
    }

    /// Counts an answer; `canary` if the canary version gave it.
    pub fn record(&mut self, route: &SmolStr, canary: bool, bad: bool) {
        let pair = self.routes.entry(route.clone()).or_default();
        let count = match canary {
            true => &mut pair.new,
            false => &mut pair.old,
        };
        count.add(Count {
            answers: 1,
            bad: u64::from(bad),
        });
    }

    /// Adds another entry's counts, unless they belong to an older order.
    pub fn add(&mut self, other: &Tally) {
        if other.order > self.order {
            *self = Tally::new(other.order);
        }
        if other.order < self.order {
            return;
        }
        for (route, pair) in &other.routes {
            let sum = self.routes.entry(route.clone()).or_default();
            sum.old.add(pair.old);
            sum.new.add(pair.new);
        }
    }

    /// Subtracts an entry's counts from a sum that includes them.
    pub fn subtract(&mut self, other: &Tally) {
        if other.order != self.order {
            return;
        }
        for (route, pair) in &other.routes {
            if let Some(sum) = self.routes.get_mut(route) {
                sum.old.subtract(pair.old);
                sum.new.subtract(pair.new);
            }
        }
    }

    /// Returns the counts over all routes.
    pub fn total(&self) -> Pair {
        let mut total = Pair::default();
        for pair in self.routes.values() {
            total.old.add(pair.old);
            total.new.add(pair.new);
        }
        total
    }
}

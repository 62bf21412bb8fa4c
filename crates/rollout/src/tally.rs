//! Counts of answers by route and version, kept by each entry and added up.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All.
    pub answers: u64,
    /// Those that failed, were cut, or came far slower than usual.
    pub bad: u64,
}

/// Both versions' answers on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Of the version in use.
    pub old: Count,
    /// Of the canary version.
    pub new: Count,
}

/// Answers since an order, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The order.
    pub order: u64,
    /// By route.
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
    /// Nothing counted yet since an order.
    pub fn new(order: u64) -> Tally {
        Tally {
            order,
            routes: BTreeMap::new(),
        }
    }

    /// Counts an answer; `canary` if it is of the canary version.
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

    /// Adds another entry's counts; those of an older order are passed over.
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

    /// Takes an entry's counts off a sum that holds them.
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

    /// All routes together.
    pub fn total(&self) -> Pair {
        let mut total = Pair::default();
        for pair in self.routes.values() {
            total.old.add(pair.old);
            total.new.add(pair.new);
        }
        total
    }
}

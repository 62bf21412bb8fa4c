//! Which part of the offered work is admitted.
//!
//! Load pattern: for seconds to minutes more work is offered than the replicas carry. Admitted in order of arrival,
//! urgent and other work would be late alike, and an account with many requests would take the place of the others.
//!
//! All entries compute the same plan from the same rates. Levels are served in order, the most urgent first; each
//! keeps a floor, so that none starves. Within a level, accounts get max-min fair shares by weight, in work and not
//! in requests. Rates of offered work don't change when work is refused, so the plan doesn't oscillate.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use rand::RngExt;

use crate::configs::plan::Config;
use crate::demand::Class;
use crate::demand::Rates;

/// Time without a request of a class after which its balance is forgotten.
const BALANCE_RETENTION: Span = Span::from_seconds(10);

/// Weights of accounts by the hash of their names; 1 for accounts without one.
pub type Weights = BTreeMap<u32, f64>;

/// The admitted part of a service's work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Admitted fractions, from 0 to 1, of the classes of which not all is admitted.
    pub fractions: BTreeMap<Class, f64>,
}

/// An account's work on one level.
struct Demand {
    class: Class,
    rate: f64,
    weight: f64,
}

impl Plan {
    /// Plans which part of `rates` is admitted for a capacity in prompt tokens per second.
    pub fn new(config: &Config, weights: &Weights, rates: &Rates, capacity: f64) -> Plan {
        let mut plan = Plan::default();
        if rates.total() as f64 <= capacity {
            return plan;
        }
        let mut levels: BTreeMap<u8, Vec<Demand>> = BTreeMap::new();
        for (class, rate) in rates.iter() {
            let weight = weights.get(&class.account).copied().unwrap_or(1.0);
            levels.entry(class.level).or_default().push(Demand {
                class,
                rate: f64::from(rate),
                weight: weight.max(f64::MIN_POSITIVE),
            });
        }
        let floor = config.floor * capacity / levels.len() as f64;
        let total_of = |offers: &[Demand]| offers.iter().map(|offer| offer.rate).sum::<f64>();
        let floors: f64 = levels
            .values()
            .map(|offers| total_of(offers).min(floor))
            .sum();
        let mut left = (capacity - floors).max(0.0);
        for offers in levels.values_mut() {
            let offered = total_of(offers);
            let kept = offered.min(floor);
            let added = (offered - kept).min(left);
            left -= added;
            if kept + added < offered {
                plan.divide(offers, kept + added);
            }
        }
        plan
    }

    /// Returns the admitted fraction of a class, from 0 to 1.
    pub fn fraction(&self, class: Class) -> f64 {
        self.fractions.get(&class).copied().unwrap_or(1.0)
    }

    /// Returns the rate that is admitted of `rates`.
    pub fn admitted(&self, rates: &Rates) -> f64 {
        let rows = rates.iter();
        rows.map(|(class, rate)| f64::from(rate) * self.fraction(class))
            .sum()
    }

    /// Divides `room` among the accounts of one level.
    fn divide(&mut self, offers: &mut [Demand], room: f64) {
        let by_weight = |offer: &Demand| offer.rate / offer.weight;
        offers.sort_by(|a, b| by_weight(a).total_cmp(&by_weight(b)));
        // Weights are added up from the end: subtracted from their sum, small ones would leave zero or less.
        let weights_from = |sum: &mut f64, offer: &Demand| {
            *sum += offer.weight;
            Some(*sum)
        };
        let mut weights: Vec<f64> = offers.iter().rev().scan(0.0, weights_from).collect();
        weights.reverse();
        let mut left = room;
        for (offer, weight) in offers.iter().zip(weights) {
            let share = left * (offer.weight / weight);
            if offer.rate > share {
                self.fractions.insert(offer.class, share / offer.rate);
            }
            left -= offer.rate.min(share);
        }
    }
}

/// Admits the planned fraction of each class's work at one entry.
///
/// Keeps for each class the difference between the planned and the admitted work, and admits while it isn't
/// negative. The admitted work therefore differs from the plan by one request at most. Whether a request is admitted
/// doesn't depend on its own size: if the balance had to cover it, small requests would use the balance up, and large
/// ones would never be admitted.
///
/// A balance starts at a random phase, so that the first requests of all entries together are admitted in the planned
/// fraction too. Started at zero, each entry admitted one request of each class: with 24 entries and 5 accounts that
/// was two seconds of the capacity of six replicas, at the very beginning of an overload.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    balances: BTreeMap<Class, Balance>,
    /// When the last request of each level was offered.
    levels: BTreeMap<u8, Time>,
}

/// The state of one class.
#[derive(Clone, Copy, Debug)]
struct Balance {
    /// Planned work that hasn't been admitted; negative if more was admitted.
    work: f64,
    /// When the last request was offered.
    offered_at: Time,
}

/// A request as the gate sees it.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Class of the request.
    pub class: Class,
    /// Its work, in prompt tokens.
    pub work: u64,
    /// Whether it is the first of its level for some time.
    pub first: bool,
}

impl Gate {
    /// Records a request, also one that is admitted without the gate.
    pub fn offer(&mut self, config: &Config, now: Time, class: Class, work: u64) -> Offer {
        let last = self.levels.insert(class.level, now);
        Offer {
            class,
            work: work.max(1),
            first: last.is_none_or(|last| now.since(last) >= config.idle_time),
        }
    }

    /// Returns whether a request is admitted, of whose class `fraction` is to be.
    pub fn admits(
        &mut self,
        now: Time,
        offer: Offer,
        fraction: f64,
        random: &mut impl RngExt,
    ) -> bool {
        let work = offer.work as f64;
        let balance = self.balances.entry(offer.class).or_insert_with(|| Balance {
            work: work * (random.random::<f64>() - 1.0 + fraction),
            offered_at: now,
        });
        balance.offered_at = now;
        // The first request of a level after a pause is admitted, but not several in a row: if most requests come
        // after a pause, as with many entries, the whole overload would be admitted.
        let admitted = balance.work >= 0.0 || (offer.first && balance.work > -work);
        balance.work += fraction * work;
        if admitted {
            balance.work -= work;
        }
        admitted
    }

    /// Forgets the classes and levels without a request for some time.
    pub fn expire(&mut self, now: Time) {
        self.balances
            .retain(|_, balance| now.since(balance.offered_at) < BALANCE_RETENTION);
        self.levels
            .retain(|_, offered_at| now.since(*offered_at) < BALANCE_RETENTION);
    }
}

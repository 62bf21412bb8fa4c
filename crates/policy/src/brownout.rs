//! Load shedding by priority and fair share.
//!
//! Guards against sustained overload, or the loss of a zone at full load: without shedding every
//! account loses the same fraction whatever its priority, and callers learn it only after waiting.
//!
//! Once per period the offered cost of each account is compared with the rate at which work drains.
//! Priorities are served from 0 upwards; the priority at which capacity runs out is divided among
//! its accounts by weight, and everything behind it is refused immediately. Offered rates, unlike
//! queue lengths, don't change when work is shed, so the plan doesn't oscillate.

use std::collections::BTreeMap;

use clock::Time;

use crate::account;
use crate::configs::brownout::Config;
use crate::fair::Cost;

/// Accounts that offer less than this cost per second are dropped.
const MIN_OFFERED_RATE: f64 = 1.0;

/// Admitted share from which an idle account is always admitted.
const IDLE_ADMITTED_SHARE: f64 = 0.5;

/// Admission gate of one pool.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    offers: BTreeMap<account::Key, Offer>,
    planned_at: Time,
    /// Cost per second offered by all accounts.
    offered_rate: f64,
}

/// One account's demand and its share in the current plan.
#[derive(Clone, Copy, Debug)]
struct Offer {
    weight: f64,
    priority: u8,
    /// Cost offered in the current period.
    cost: f64,
    /// Smoothed cost per second; `None` in an account's first period.
    rate: Option<f64>,
    /// Fraction of its jobs that are admitted.
    admitted_share: f64,
    /// Grows by `admitted_share` with each job; a job is admitted when it reaches one.
    credit: f64,
}

impl Gate {
    /// Records an offered job, and replans when the period is over; `capacity` is in cost per
    /// second.
    pub fn offer(
        &mut self,
        settings: &Config,
        now: Time,
        key: account::Key,
        spec: &account::Spec,
        cost: Cost,
        capacity: Option<f64>,
    ) {
        if now.since(self.planned_at) >= settings.period {
            self.plan(settings, now, capacity);
        }
        let offer = self.offers.entry(key).or_insert(Offer {
            weight: f64::from(spec.weight.max(1)),
            priority: spec.priority,
            cost: 0.0,
            rate: None,
            admitted_share: 1.0,
            credit: 0.0,
        });
        offer.weight = f64::from(spec.weight.max(1));
        offer.priority = spec.priority;
        offer.cost += cost as f64;
    }

    /// Returns whether the current plan admits a job of the account; `idle` means that the account
    /// has no job waiting.
    ///
    /// An idle account is admitted unless most of its work is shed: rates over a short period would
    /// otherwise thin out a small account for two requests that happen to arrive together.
    pub fn admits(&mut self, key: account::Key, idle: bool) -> bool {
        let Some(offer) = self.offers.get_mut(&key) else {
            return true;
        };
        if idle && offer.admitted_share >= IDLE_ADMITTED_SHARE {
            return true;
        }
        offer.credit = (offer.credit + offer.admitted_share).min(1.0 + offer.admitted_share);
        if offer.credit < 1.0 {
            return false;
        }
        offer.credit -= 1.0;
        true
    }

    /// Returns the cost per second offered by all accounts.
    pub fn offered_rate(&self) -> f64 {
        self.offered_rate
    }

    fn plan(&mut self, settings: &Config, now: Time, capacity: Option<f64>) {
        let seconds = now.since(self.planned_at).as_millis() as f64 / 1_000.0;
        self.planned_at = now;
        for offer in self.offers.values_mut() {
            let newest = offer.cost / seconds;
            let rate = offer.rate.get_or_insert(newest);
            *rate += settings.smoothing * (newest - *rate);
            offer.cost = 0.0;
        }
        self.offers
            .retain(|_, offer| offer.rate.is_none_or(|rate| rate >= MIN_OFFERED_RATE));
        self.offered_rate = self.offers.values().filter_map(|offer| offer.rate).sum();
        if let Some(capacity) = capacity {
            self.divide(capacity * settings.headroom);
        }
    }

    /// Divides the capacity by priority, and within a priority by weighted max-min fairness.
    fn divide(&mut self, capacity: f64) {
        let mut by_priority: BTreeMap<u8, Vec<&mut Offer>> = BTreeMap::new();
        for offer in self.offers.values_mut() {
            by_priority.entry(offer.priority).or_default().push(offer);
        }
        let mut left = capacity;
        for offers in by_priority.values_mut() {
            left -= divide_by_weight(offers, left.max(0.0));
        }
    }
}

/// Divides `left` among the offers of one priority and returns how much of it they use.
fn divide_by_weight(offers: &mut [&mut Offer], left: f64) -> f64 {
    let per_weight = |offer: &Offer| offer.rate.unwrap_or(0.0) / offer.weight;
    offers.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut weight: f64 = offers.iter().map(|offer| offer.weight).sum();
    let mut remaining = left;
    for offer in offers.iter_mut() {
        let rate = offer.rate.unwrap_or(0.0);
        let given = rate.min(remaining * offer.weight / weight);
        offer.admitted_share = if rate > 0.0 { given / rate } else { 1.0 };
        remaining -= given;
        weight -= offer.weight;
    }
    left - remaining
}

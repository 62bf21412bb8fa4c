//! Shedding by priority, then by share.
//!
//! Load pattern: sustained overload, or a lost zone at full load. Without a plan every account loses
//! the same part, whatever it is worth, and callers learn it only after they have waited.
//!
//! For a period at a time the offered cost of each account is held against the rate at which work
//! drains. Priorities are served from 0 upwards; the one at which the rate runs out is divided among
//! its accounts by weight, and everything behind it is refused at once. Offered rates, unlike queue
//! lengths, don't change when something is shed, so the plan does not swing.

use std::collections::BTreeMap;

use clock::Time;

use crate::account;
use crate::configs::brownout::Config;
use crate::fair::Cost;

/// Offers below this rate (cost a second) are forgotten.
const FORGOTTEN: f64 = 1.0;

/// Share of its jobs from which on an account counts as mostly within its share.
const MOSTLY: f64 = 0.5;

/// Decides for one pool who passes.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    offers: BTreeMap<account::Key, Offer>,
    planned: Time,
    /// Cost a second offered over all accounts.
    total: f64,
}

/// One account's demand and its part of the plan.
#[derive(Clone, Copy, Debug)]
struct Offer {
    weight: f64,
    priority: u8,
    /// In the present period.
    cost: f64,
    /// Running mean, cost a second; none in an account's first period.
    rate: Option<f64>,
    /// Share of its jobs that pass.
    passes: f64,
    /// Rises by `passes` with each job; a job passes when it reaches one.
    credit: f64,
}

impl Gate {
    /// Notes an offer, and makes a new plan when the old one is over; `capacity` is cost a second.
    pub fn offer(
        &mut self,
        settings: &Config,
        now: Time,
        key: account::Key,
        spec: &account::Spec,
        cost: Cost,
        capacity: Option<f64>,
    ) {
        if now.since(self.planned) >= settings.period {
            self.plan(settings, now, capacity);
        }
        let offer = self.offers.entry(key).or_insert(Offer {
            weight: f64::from(spec.weight.max(1)),
            priority: spec.priority,
            cost: 0.0,
            rate: None,
            passes: 1.0,
            credit: 0.0,
        });
        offer.weight = f64::from(spec.weight.max(1));
        offer.priority = spec.priority;
        offer.cost += cost as f64;
    }

    /// Whether a job of the account passes under the present plan; `idle`, it has none waiting.
    ///
    /// An idle account passes unless most of its work is shed: rates measured over a short time would
    /// thin out a small account for two requests that happen to come together.
    pub fn admits(&mut self, key: account::Key, idle: bool) -> bool {
        let Some(offer) = self.offers.get_mut(&key) else {
            return true;
        };
        if idle && offer.passes >= MOSTLY {
            return true;
        }
        offer.credit = (offer.credit + offer.passes).min(1.0 + offer.passes);
        if offer.credit < 1.0 {
            return false;
        }
        offer.credit -= 1.0;
        true
    }

    /// Cost a second offered over all accounts.
    pub fn offered_rate(&self) -> f64 {
        self.total
    }

    fn plan(&mut self, settings: &Config, now: Time, capacity: Option<f64>) {
        let seconds = now.since(self.planned).as_millis() as f64 / 1_000.0;
        self.planned = now;
        for offer in self.offers.values_mut() {
            let newest = offer.cost / seconds;
            let rate = offer.rate.get_or_insert(newest);
            *rate += settings.smoothing * (newest - *rate);
            offer.cost = 0.0;
        }
        self.offers
            .retain(|_, offer| offer.rate.is_none_or(|rate| rate >= FORGOTTEN));
        self.total = self.offers.values().filter_map(|offer| offer.rate).sum();
        if let Some(capacity) = capacity {
            self.divide(capacity * settings.headroom);
        }
    }

    /// Gives the capacity out by priority, within one by weighted max-min share.
    fn divide(&mut self, capacity: f64) {
        let mut by_priority: BTreeMap<u8, Vec<&mut Offer>> = BTreeMap::new();
        for offer in self.offers.values_mut() {
            by_priority.entry(offer.priority).or_default().push(offer);
        }
        let mut left = capacity;
        for offers in by_priority.values_mut() {
            left -= share_out(offers, left.max(0.0));
        }
    }
}

/// Shares `left` among the offers of one priority; what they take of it.
fn share_out(offers: &mut [&mut Offer], left: f64) -> f64 {
    let per_weight = |offer: &Offer| offer.rate.unwrap_or(0.0) / offer.weight;
    offers.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut weight: f64 = offers.iter().map(|offer| offer.weight).sum();
    let mut remaining = left;
    for offer in offers.iter_mut() {
        let rate = offer.rate.unwrap_or(0.0);
        let given = rate.min(remaining * offer.weight / weight);
        offer.passes = if rate > 0.0 { given / rate } else { 1.0 };
        remaining -= given;
        weight -= offer.weight;
    }
    left - remaining
}

//! Which jobs give way to others where slots are scarce.
//!
//! Load pattern: more is asked than the replicas carry, through so many entries that each owns a few slots. Jobs of
//! lower priority, or of an account far above its share, start wherever an entry has a slot of its own and nothing else
//! waits there. More urgent jobs arrive at another entry, whose few slots are taken, and find no free one to borrow.
//!
//! A job gives way if its entry is offered work of a higher priority, or if its account offers several times as much by
//! weight as the other accounts of its priority. Neither depends on an estimate of the capacity, and both can be told
//! from the few requests that one entry sees.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;

use crate::account;
use crate::configs::contention::Config;
use crate::fair::Cost;

/// Rates of the work offered at one entry. A decision costs the same for any number of accounts.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    levels: BTreeMap<u8, Level>,
    expired_at: Time,
}

/// Accounts that offered work on one level. Invariant: not empty.
#[derive(Clone, Debug, Default)]
struct Level {
    accounts: BTreeMap<account::Key, Offer>,
    /// Sums over all accounts.
    total: Offer,
}

/// Moving average of offered work.
#[derive(Clone, Copy, Debug, Default)]
struct Offer {
    weight: f64,
    /// Cost per second at `at`.
    rate: f64,
    at: Time,
}

impl Offer {
    fn rate_at(&self, now: Time, averaging: Span) -> f64 {
        self.rate * (-millis(now.since(self.at)) / millis(averaging)).exp()
    }

    fn add(&mut self, now: Time, averaging: Span, cost: Cost) {
        let added = cost as f64 * 1_000.0 / millis(averaging);
        self.rate = self.rate_at(now, averaging) + added;
        self.at = now;
    }
}

impl Meter {
    /// Records an offered job.
    pub fn record(
        &mut self,
        config: &Config,
        now: Time,
        level: u8,
        key: account::Key,
        weight: u32,
        cost: Cost,
    ) {
        self.expire(config, now);
        let level = self.levels.entry(level).or_default();
        let offer = level.accounts.entry(key).or_default();
        let weight = f64::from(weight.max(1));
        level.total.weight += weight - offer.weight;
        offer.weight = weight;
        offer.add(now, config.averaging_time, cost);
        level.total.add(now, config.averaging_time, cost);
    }

    /// Returns whether jobs of an account on a level give way to others.
    pub fn yields(&self, config: &Config, now: Time, level: u8, key: account::Key) -> bool {
        if !config.enabled {
            return false;
        }
        if self.levels.range(..level).next().is_some() {
            return true;
        }
        let Some(level) = self.levels.get(&level) else {
            return false;
        };
        let Some(own) = level.accounts.get(&key) else {
            return false;
        };
        let rate = own.rate_at(now, config.averaging_time);
        let others = level.total.rate_at(now, config.averaging_time) - rate;
        let weights = level.total.weight - own.weight;
        level.accounts.len() > 1 && rate * weights > others * own.weight * config.excess
    }

    /// Forgets accounts that offered nothing for some time.
    fn expire(&mut self, config: &Config, now: Time) {
        if now.since(self.expired_at) < config.averaging_time.scaled(0.1) {
            return;
        }
        self.expired_at = now;
        for level in self.levels.values_mut() {
            let accounts = &mut level.accounts;
            accounts.retain(|_, offer| now.since(offer.at) < config.averaging_time);
            let rates = accounts.values();
            level.total = Offer {
                weight: rates.clone().map(|offer| offer.weight).sum(),
                rate: rates
                    .map(|offer| offer.rate_at(now, config.averaging_time))
                    .sum(),
                at: now,
            };
        }
        self.levels.retain(|_, level| !level.accounts.is_empty());
    }
}

/// Returns how many free slots of `owned` jobs that give way leave to others. The number of running attempts varies by
/// about its square root. At least one slot is left for all.
pub fn reserve(config: &Config, owned: u32) -> u32 {
    let reserve = (config.reserve * f64::from(owned).sqrt()).floor() as u32;
    reserve.min(owned.saturating_sub(1))
}

fn millis(span: Span) -> f64 {
    span.as_millis() as f64
}

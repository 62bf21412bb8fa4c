//! Retry budget of a pool, and retry times for refused callers.
//!
//! Guards against an outage in which every attempt fails at once. Unbounded retries turn each
//! request into several and overload the first replica that recovers; refused callers that all
//! retry at the same moment restart the outage.
//!
//! [`Budget`]: retries are a fraction of the complete answers, so that they run dry in an outage
//! while a single replica's crash stays hidden from its callers. A fraction of a tenth follows
//! Google's SRE book ("Handling Overload"). [`Calendar`]: each refused caller gets its account's
//! next free time slot, so that callers return at the rate at which work drains, and an account
//! that floods the entry doesn't fill the calendar for others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::account;
use crate::configs::retry::Config;
use crate::fair::Cost;

/// Budget of a pool for retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    remaining: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: &Config) -> Budget {
        Budget {
            remaining: settings.max_saved,
        }
    }

    /// Returns the number of retries left.
    pub fn remaining(&self) -> f64 {
        self.remaining
    }

    /// Credits a complete answer.
    pub fn earn(&mut self, settings: &Config) {
        self.remaining = (self.remaining + settings.fraction).min(settings.max_saved);
    }

    /// Spends one retry, if there is one; returns whether the retry may be made.
    pub fn spend(&mut self, settings: &Config) -> bool {
        if !settings.enabled {
            return true;
        }
        if self.remaining < 1.0 {
            return false;
        }
        self.remaining -= 1.0;
        true
    }
}

/// Retry times booked for refused callers.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    /// Accounts with bookings in the future; bounded by the number of accounts.
    accounts: BTreeMap<account::Key, Booking>,
    /// The same accounts by the end of their bookings, in milliseconds.
    ends: BTreeSet<(u64, account::Key)>,
    /// Sum of the weights of `accounts`.
    weight: f64,
}

/// One account's bookings.
#[derive(Clone, Copy, Debug)]
struct Booking {
    /// Time up to which the account is fully booked, in milliseconds.
    end_ms: f64,
    weight: f64,
}

/// A refused request that may be retried by its caller.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Client account.
    pub account: account::Key,
    /// The account's weight.
    pub weight: u32,
    /// Estimated cost.
    pub cost: Cost,
    /// Wait that was predicted for it in the queue.
    pub wait: Span,
    /// Time for which no replica accepts a request.
    pub pause: Span,
    /// Cost per second that the pool completes; `None` while unknown.
    pub rate: Option<f64>,
}

impl Calendar {
    /// Books a time slot for the caller and returns the delay after which it should retry.
    pub fn book(
        &mut self,
        settings: &Config,
        now: Time,
        refused: &Refused,
        random: &mut Pcg64,
    ) -> Span {
        if !settings.enabled {
            return Span::from_millis(1);
        }
        self.remove_past(now);
        let now = now.as_millis() as f64;
        let min_delay = settings.min_delay.as_millis() as f64;
        let max_delay = settings.max_delay.as_millis() as f64;
        let resumed = now + refused.pause.as_millis() as f64;
        let wait = refused.wait.max(refused.pause).as_millis() as f64;
        let earliest = now + min_delay.max(wait);
        let weight = f64::from(refused.weight.max(1));
        let booking = self.remove(refused.account);
        let begin = booking.map_or(earliest, |booking| booking.end_ms.max(earliest));
        let share = weight / (self.weight + weight);
        let width = match refused.rate {
            Some(rate) if rate > 0.0 => {
                refused.cost as f64 / (rate * share * settings.return_share) * 1_000.0
            }
            _ => min_delay,
        };
        // The calendar is full: spread the rest over its second half.
        let full = begin + width > resumed + max_delay;
        let end_ms = if full { begin } else { begin + width };
        self.insert(refused.account, Booking { end_ms, weight });
        if full {
            return millis(resumed - now + max_delay * random.random_range(0.5..1.0));
        }
        millis(begin + width * random.random::<f64>() - now)
    }

    fn remove(&mut self, account: account::Key) -> Option<Booking> {
        let booking = self.accounts.remove(&account)?;
        self.ends.remove(&(booking.end_ms as u64, account));
        self.weight -= booking.weight;
        Some(booking)
    }

    fn insert(&mut self, account: account::Key, booking: Booking) {
        self.ends.insert((booking.end_ms as u64, account));
        self.weight += booking.weight;
        self.accounts.insert(account, booking);
    }

    fn remove_past(&mut self, now: Time) {
        while let Some((end, account)) = self.ends.first().copied() {
            if end >= now.as_millis() {
                return;
            }
            self.remove(account);
        }
    }
}

fn millis(value: f64) -> Span {
    Span::from_millis(value.max(1.0) as u64)
}

//! Retries of attempts, and when refused callers come back.
//!
//! Load pattern: an outage. Every attempt fails at once; tried again without bound, each request
//! becomes several and the first replica back is buried. The callers who were refused all come back
//! at the same moment and the outage begins anew.
//!
//! [`Budget`]: retries are a fraction of the whole answers given, so in an outage they run dry while a
//! single replica's death is hidden from its callers. The fraction of a tenth is what Google's SRE
//! book ("Handling Overload") names for client retries. [`Calendar`]: each refused caller is given its
//! account's next free appointment, so that callers return at the rate at which work drains, not
//! together, and an account that flooded the entry doesn't fill the calendar for the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::account;
use crate::configs::retry::Config;
use crate::fair::Cost;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(settings: &Config) -> Budget {
        Budget {
            left: settings.max_saved,
        }
    }

    /// Retries that may still be made.
    pub fn remaining(&self) -> f64 {
        self.left
    }

    /// A whole answer was given.
    pub fn earn(&mut self, settings: &Config) {
        self.left = (self.left + settings.fraction).min(settings.max_saved);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, settings: &Config) -> bool {
        if !settings.enabled {
            return true;
        }
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Appointments of refused callers.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    /// Accounts with appointments to come; bounded by the number of accounts.
    accounts: BTreeMap<account::Key, Page>,
    /// The same by the end of their appointments, in milliseconds.
    ends: BTreeSet<(u64, account::Key)>,
    /// Sum of their weights.
    weight: f64,
}

/// One account's appointments.
#[derive(Clone, Copy, Debug)]
struct Page {
    /// Every moment before this one is taken, in milliseconds.
    taken: f64,
    weight: f64,
}

/// A refused request that could come back.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Whose.
    pub account: account::Key,
    /// The account's weight.
    pub weight: u32,
    /// Its cost.
    pub cost: Cost,
    /// How long it would have waited in the queue.
    pub wait: Span,
    /// Cost a second that the pool gets done; none before it is known.
    pub rate: Option<f64>,
}

impl Calendar {
    /// When the caller should come back.
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
        self.drop_past(now);
        let now = now.as_millis() as f64;
        let shortest = settings.min_delay.as_millis() as f64;
        let longest = settings.max_delay.as_millis() as f64;
        let earliest = now + shortest.max(refused.wait.as_millis() as f64);
        let weight = f64::from(refused.weight.max(1));
        let page = self.take_page(refused.account);
        let begin = page.map_or(earliest, |page| page.taken.max(earliest));
        let share = weight / (self.weight + weight);
        let width = match refused.rate {
            Some(rate) if rate > 0.0 => {
                refused.cost as f64 / (rate * share * settings.return_share) * 1_000.0
            }
            _ => shortest,
        };
        // Full: the rest is spread over the calendar's second half.
        let full = begin + width > now + longest;
        let taken = if full { begin } else { begin + width };
        self.put_page(refused.account, Page { taken, weight });
        if full {
            return millis(longest * random.random_range(0.5..1.0));
        }
        millis(begin + width * random.random::<f64>() - now)
    }

    fn take_page(&mut self, account: account::Key) -> Option<Page> {
        let page = self.accounts.remove(&account)?;
        self.ends.remove(&(page.taken as u64, account));
        self.weight -= page.weight;
        Some(page)
    }

    fn put_page(&mut self, account: account::Key, page: Page) {
        self.ends.insert((page.taken as u64, account));
        self.weight += page.weight;
        self.accounts.insert(account, page);
    }

    fn drop_past(&mut self, now: Time) {
        while let Some((end, account)) = self.ends.first().copied() {
            if end >= now.as_millis() {
                return;
            }
            self.take_page(account);
        }
    }
}

fn millis(value: f64) -> Span {
    Span::from_millis(value.max(1.0) as u64)
}

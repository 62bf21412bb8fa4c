//! One entry's share of what the service takes.
//!
//! The load pattern: many entries call one service that takes several hundred writes and two
//! thousand reads a second. Without shares, a burst at one entry, or the return of all after an
//! outage, takes the service down for leases and configuration as well. Each entry saves up calls at
//! its share's rate and spends them; what is less urgent must leave some for what is more.

use clock::Time;

use crate::call::Call;
use crate::configs::budget::Settings;

/// What a call is for, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Renewals: late, they cost the right to act. Never made to wait, only counted.
    Lease,
    /// The configuration: its bound is in seconds.
    Config,
    /// Intent rows: a caller waits for each.
    Intent,
    /// Summaries and other records that can wait.
    Summary,
}

impl Priority {
    /// All, the most urgent first.
    pub const ALL: [Priority; 4] = [
        Priority::Lease,
        Priority::Config,
        Priority::Intent,
        Priority::Summary,
    ];

    /// Part of a full bucket that must remain after a call of this priority.
    const fn reserve(self) -> f64 {
        match self {
            Priority::Lease => f64::NEG_INFINITY,
            Priority::Config => 0.0,
            Priority::Intent => 0.25,
            Priority::Summary => 0.5,
        }
    }
}

/// What this entry may spend.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    members: usize,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// Calls of one kind that are saved up.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Never above the burst; renewals may take it below zero.
    tokens: f64,
    refilled_at: Time,
}

impl Budget {
    /// The whole service's budget until it is told how many members share it; purses start full.
    pub fn new(settings: Settings) -> Budget {
        let mut budget = Budget {
            settings,
            members: 1,
            reads: TokenBucket::default(),
            writes: TokenBucket::default(),
        };
        budget.reads.tokens = budget.burst(budget.share(settings.reads_per_second));
        budget.writes.tokens = budget.burst(budget.share(settings.writes_per_second));
        budget
    }

    /// How many live entries share the service.
    pub fn set_members(&mut self, now: Time, members: usize) {
        self.refill(now);
        self.members = members.max(1);
        self.refill(now);
    }

    /// Whether a call may be made now; if so it is paid for.
    pub fn take(&mut self, now: Time, call: &Call, priority: Priority) -> bool {
        self.refill(now);
        let rate = match call {
            Call::Transact(_) => self.settings.writes_per_second,
            _ => self.settings.reads_per_second,
        };
        let required = self.burst(self.share(rate)) * priority.reserve() + 1.0;
        let bucket = match call {
            Call::Transact(_) => &mut self.writes,
            _ => &mut self.reads,
        };
        if bucket.tokens < required {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Time) {
        let reads = self.share(self.settings.reads_per_second);
        let writes = self.share(self.settings.writes_per_second);
        let (read_capacity, write_capacity) = (self.burst(reads), self.burst(writes));
        self.reads.refill(now, reads, read_capacity);
        self.writes.refill(now, writes, write_capacity);
    }

    /// This entry's share of a limit, calls a second.
    fn share(&self, limit: f64) -> f64 {
        limit * self.settings.shared_fraction / self.members as f64
    }

    /// Most calls saved up at this rate.
    fn burst(&self, rate: f64) -> f64 {
        let seconds = self.settings.burst.as_millis() as f64 / 1_000.0;
        (rate * seconds).max(self.settings.min_burst)
    }
}

impl Default for TokenBucket {
    fn default() -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            refilled_at: Time::ZERO,
        }
    }
}

impl TokenBucket {
    fn refill(&mut self, now: Time, rate: f64, capacity: f64) {
        let seconds = now.since(self.refilled_at).as_millis() as f64 / 1_000.0;
        self.tokens = (self.tokens + rate * seconds).min(capacity);
        self.refilled_at = now;
    }
}

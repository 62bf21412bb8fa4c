//! Rate limit of one entry's calls to the table service.
//!
//! All entries share one service with limits on reads and writes per second. Without per-entry
//! limits, a burst at one entry, or the reconnect of all entries after an outage, overloads the
//! service for leases and configuration as well. Each entry has a token bucket that refills at its
//! share of the limits; less urgent calls must leave part of the bucket for more urgent ones.

use clock::Time;

use crate::call::Call;
use crate::configs::budget::Settings;

/// Purpose of a call, in descending order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Lease renewals: a late one costs the lease, so they are counted but never delayed.
    Lease,
    /// Configuration, which must propagate within seconds.
    Config,
    /// Intent rows, each of which a caller waits for.
    Intent,
    /// Summaries and other records that can be delayed.
    Summary,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Priority; 4] = [
        Priority::Lease,
        Priority::Config,
        Priority::Intent,
        Priority::Summary,
    ];

    /// Returns the fraction of a full bucket that must remain after a call of this priority.
    const fn reserve(self) -> f64 {
        match self {
            Priority::Lease => f64::NEG_INFINITY,
            Priority::Config => 0.0,
            Priority::Intent => 0.25,
            Priority::Summary => 0.5,
        }
    }
}

/// Token buckets for this entry's reads and writes.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    members: usize,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// Token bucket for one kind of call.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Available tokens: at most the burst; lease renewals may take it below zero.
    tokens: f64,
    refilled_at: Time,
}

impl Budget {
    /// Creates full buckets for the whole service; [`Budget::set_members`] reduces them to this
    /// entry's share.
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

    /// Sets the number of live entries that share the service.
    pub fn set_members(&mut self, now: Time, members: usize) {
        self.refill(now);
        self.members = members.max(1);
        self.refill(now);
    }

    /// Takes a token for a call; returns whether the call may be made now.
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

    /// Returns this entry's share of a limit, calls per second.
    fn share(&self, limit: f64) -> f64 {
        limit * self.settings.shared_fraction / self.members as f64
    }

    /// Returns the capacity of a bucket with this refill rate.
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

//! One account's limit at one entry.

use clock::Span;
use clock::Time;

use crate::account::Spec;
use crate::configs::limit::Config;
use crate::fair::Cost;
use crate::limit::Others;
use crate::limit::digest::Claim;

/// Demand below this counts as none.
const MIN_DEMAND: f64 = 0.01;

/// Token bucket, open requests and claim of one account.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    tokens_limit: f64,
    open_limit: u32,
    /// Share in force. Invariant: never above the claim published a period ago, or an equal share.
    tokens: f64,
    open: u32,
    /// Published share, in force after the next review as far as the peers leave room.
    next_tokens: f64,
    next_open: u32,
    bucket: f64,
    refilled_at: Time,
    in_flight: u32,
    offered: f64,
    refused: u32,
    demand: f64,
    wanted: f64,
}

impl Account {
    pub(crate) fn new(spec: &Spec, entries: u32) -> Account {
        let mut account = Account {
            tokens_limit: 0.0,
            open_limit: 0,
            tokens: f64::MAX,
            open: u32::MAX,
            next_tokens: f64::MAX,
            next_open: u32::MAX,
            bucket: 0.0,
            refilled_at: Time::ZERO,
            in_flight: 0,
            offered: 0.0,
            refused: 0,
            demand: 0.0,
            wanted: 0.0,
        };
        account.set_spec(spec, entries);
        account.bucket = account.tokens;
        account
    }

    /// Sets new limits; a change cuts the share in force to an equal share.
    pub(crate) fn set_spec(&mut self, spec: &Spec, entries: u32) {
        let limits = (spec.tokens_per_second as f64, spec.concurrent);
        if limits == (self.tokens_limit, self.open_limit) {
            return;
        }
        (self.tokens_limit, self.open_limit) = limits;
        let (tokens, open) = self.equal_share(entries);
        self.tokens = self.tokens.min(tokens);
        self.open = self.open.min(open);
        self.next_tokens = self.tokens;
        self.next_open = self.open;
    }

    /// Returns the share of each entry if all get the same.
    pub(crate) fn equal_share(&self, entries: u32) -> (f64, u32) {
        (
            self.tokens_limit / f64::from(entries),
            self.open_limit / entries,
        )
    }

    /// Returns the share that an entry may grant without a claim.
    pub(crate) fn floor(&self, settings: &Config, entries: u32) -> (f64, u32) {
        let (tokens, open) = self.equal_share(entries);
        let open_floor = (f64::from(open) * settings.floor) as u32;
        (tokens * settings.floor, open_floor.max(1).min(open))
    }

    pub(crate) fn share(&self) -> (f64, u32) {
        (self.tokens, self.open)
    }

    pub(crate) fn admit(&mut self, settings: &Config, now: Time, cost: Cost) -> Result<(), Span> {
        self.refill(settings, now);
        self.offered += cost as f64;
        if self.open_limit > 0 && self.in_flight >= self.open {
            self.refused += 1;
            return Err(settings.period.times(2));
        }
        // A job larger than the bucket is admitted when the bucket is full; later jobs wait until
        // it refills.
        let needed = (cost as f64).min(self.bucket_size(settings));
        if self.tokens_limit > 0.0 && self.bucket < needed {
            self.refused += 1;
            let seconds = (needed - self.bucket) / self.tokens.max(1.0);
            return Err(Span::from_millis((seconds * 1_000.0) as u64).max(settings.period));
        }
        self.hold(cost);
        Ok(())
    }

    /// Counts a job that must not be refused any more.
    pub(crate) fn hold(&mut self, cost: Cost) {
        self.bucket -= cost as f64;
        self.in_flight += 1;
    }

    pub(crate) fn release(&mut self, estimated: Cost, actual: Cost) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.bucket += estimated as f64 - actual as f64;
    }

    /// Puts last period's claim in force as far as the peers leave room, and computes the next one.
    pub(crate) fn review(
        &mut self,
        settings: &Config,
        entries: u32,
        others: &Others,
        published: bool,
    ) {
        self.update_demand(settings);
        let floor = self.floor(settings, entries);
        let room_tokens = (self.tokens_limit - others.tokens).max(0.0);
        let room_open = self.open_limit.saturating_sub(others.open);
        if published {
            self.tokens = self.tokens.max(self.next_tokens.min(room_tokens));
            self.open = self.open.max(self.next_open.min(room_open));
        } else {
            self.tokens = self.tokens.min(floor.0);
            self.open = self.open.min(floor.1);
        }
        let equal = self.equal_share(entries);
        let fresh = f64::from((others.fresh + 1).min(entries));
        let stale = f64::from(entries) - fresh;
        let next_share = |limit: f64, equal: f64, floor: f64, own: f64, peers: f64| {
            let by_demand = if own > MIN_DEMAND {
                own / (own + peers)
            } else {
                0.0
            };
            floor + (limit - equal * stale - floor * fresh).max(0.0) * by_demand
        };
        self.next_tokens = next_share(
            self.tokens_limit,
            equal.0,
            floor.0,
            self.demand,
            others.demand,
        );
        let (equal_open, floor_open) = (f64::from(equal.1), f64::from(floor.1));
        let limit = f64::from(self.open_limit);
        self.next_open =
            next_share(limit, equal_open, floor_open, self.wanted, others.wanted) as u32;
        self.tokens = self.tokens.min(self.next_tokens);
        self.open = self.open.min(self.next_open);
    }

    /// Returns the claim to publish; none without demand, which claims no more than the floor.
    pub(crate) fn claim(&self, name: u64) -> Option<Claim> {
        if self.demand + self.wanted < MIN_DEMAND && self.in_flight == 0 {
            return None;
        }
        Some(Claim {
            name,
            demand: self.demand,
            wanted: self.wanted,
            tokens: self.tokens.max(self.next_tokens),
            open: self.open.max(self.next_open).max(self.in_flight),
        })
    }

    fn update_demand(&mut self, settings: &Config) {
        let seconds = settings.period.as_millis() as f64 / 1_000.0;
        let offered = self.offered / seconds;
        let wanted = f64::from(self.in_flight + self.refused);
        self.demand += settings.smoothing * (offered - self.demand);
        self.wanted += settings.smoothing * (wanted - self.wanted);
        self.offered = 0.0;
        self.refused = 0;
    }

    fn bucket_size(&self, settings: &Config) -> f64 {
        self.tokens * settings.burst.as_millis() as f64 / 1_000.0
    }

    fn refill(&mut self, settings: &Config, now: Time) {
        let seconds = now.since(self.refilled_at).as_millis() as f64 / 1_000.0;
        self.refilled_at = now;
        self.bucket = (self.bucket + seconds * self.tokens).min(self.bucket_size(settings));
    }
}

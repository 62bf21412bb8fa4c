//! Our own leased row: written, renewed and given up.
//!
//! Failures guarded against: a pause past the lease's end, a renewal whose answer was lost, and a row
//! that others removed. Each shows as others having stopped counting on us while we go on. The
//! deadline counts from before a renewal was sent, and only an answer moves it; an answer that comes
//! after the old deadline starts a new epoch, in which the configuration must be read again.

use clock::Span;
use clock::Time;
use lease::holding::Holding;
use serde_json::Value;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;

use crate::row::Row;
use crate::row::State;

/// The row and the lease that it stands for.
#[derive(Clone, Debug)]
pub struct Registration {
    row: Row,
    /// The row's revision as far as known; none if we believe that there is no row.
    revision: Option<u64>,
    epoch: u64,
    valid_until: Time,
    /// When the renewal on its way was sent, and its term.
    in_flight: Option<(Time, Span)>,
    last_sent: Time,
    next_renewal: Time,
    /// The row was changed since the last renewal was sent.
    has_unsent_change: bool,
    /// The row says that we left, and the service has it so.
    left: bool,
}

impl Registration {
    /// No row yet; it is written at the first opportunity.
    pub fn new(row: Row) -> Registration {
        Registration {
            row,
            revision: None,
            epoch: 0,
            valid_until: Time::ZERO,
            in_flight: None,
            last_sent: Time::ZERO,
            next_renewal: Time::ZERO,
            has_unsent_change: true,
            left: false,
        }
    }

    /// The row as it was or will be written.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// The lease that the row stands for.
    pub fn holding(&self) -> Holding {
        Holding {
            epoch: self.epoch,
            valid_until: self.valid_until,
        }
    }

    /// Whether the service has it that we left.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Changes the row; `early` is the shortest time between renewals that carry news.
    pub fn change(&mut self, min_interval: Span, change: impl FnOnce(&mut Row)) {
        let before = self.row.clone();
        change(&mut self.row);
        if self.row != before {
            self.row.renewals += 1;
            self.has_unsent_change = true;
            self.next_renewal = self.next_renewal.min(self.last_sent + min_interval);
        }
    }

    /// The loop slept: the lease no longer counts, and is renewed at once.
    pub fn invalidate(&mut self, now: Time) {
        self.valid_until = Time::ZERO;
        self.next_renewal = self.next_renewal.min(now);
    }

    /// The renewal to send now, if one is due. `interval` and `term` hold for the one after it.
    pub fn take_due(&mut self, now: Time, interval: Span, term: Span) -> Option<Call> {
        if now < self.next_renewal || self.in_flight.is_some() || self.left {
            return None;
        }
        self.row.renewals += 1;
        self.row.term_ms = term.as_millis();
        self.in_flight = Some((now, term));
        self.last_sent = now;
        self.next_renewal = now + interval;
        self.has_unsent_change = false;
        let at = self.row.store_address();
        Some(Call::Transact(Transaction {
            token: at.key.clone(),
            checks: vec![Check {
                at: at.clone(),
                revision: self.revision,
            }],
            writes: vec![Write {
                at,
                value: serde_json::to_value(&self.row).unwrap_or(Value::Null),
            }],
        }))
    }

    /// The renewal ended; `wait` passes before a failed one is tried again.
    pub fn handle_outcome(&mut self, now: Time, outcome: Outcome, retry_delay: Span) {
        let Some((sent, term)) = self.in_flight.take() else {
            return;
        };
        match outcome {
            Outcome::Committed(revision) => self.renewed(now, sent + term, revision),
            Outcome::Conflict(failed) => {
                // Our own earlier write whose answer was lost, or others removed the row.
                let row = failed.into_iter().next().and_then(|(_, row)| row);
                if row.is_none() {
                    self.valid_until = Time::ZERO;
                }
                self.revision = row.map(|row| row.revision);
                self.next_renewal = now;
            }
            _ => self.next_renewal = self.next_renewal.min(now + retry_delay),
        }
    }

    /// When a renewal is due.
    pub fn next_wake(&self) -> Option<Time> {
        (self.in_flight.is_none() && !self.left).then_some(self.next_renewal)
    }

    fn renewed(&mut self, now: Time, valid_until: Time, revision: u64) {
        self.revision = Some(revision);
        if now >= self.valid_until {
            self.epoch += 1;
        }
        self.valid_until = valid_until;
        self.left = self.row.state == State::Left && !self.has_unsent_change;
        if self.left {
            self.valid_until = Time::ZERO;
        }
    }
}

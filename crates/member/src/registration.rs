//! Our own leased row, and its renewals.
//!
//! Guards against a pause past the lease's end, a renewal whose answer was lost, and a row that others
//! removed: in each case others no longer count on this entry while it continues. The deadline counts
//! from before a renewal was sent, and only an answer extends it. An answer after the old deadline starts
//! a new epoch, in which the configuration must be read again.

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

/// Our row and the lease that it represents.
#[derive(Clone, Debug)]
pub struct Registration {
    row: Row,
    /// The row's last known revision; none if there should be no row.
    revision: Option<u64>,
    epoch: u64,
    valid_until: Time,
    /// When the renewal in flight was sent, and its term.
    in_flight: Option<(Time, Span)>,
    last_sent: Time,
    next_renewal: Time,
    /// Whether the row has changed since the last renewal was sent.
    has_unsent_change: bool,
    /// Whether the service has stored that we left.
    left: bool,
}

impl Registration {
    /// Creates a registration whose row is written at the first opportunity.
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

    /// Returns the row as last or next written.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Returns the lease.
    pub fn holding(&self) -> Holding {
        Holding {
            epoch: self.epoch,
            valid_until: self.valid_until,
        }
    }

    /// Returns whether the service has stored that we left.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Changes the row; `min_interval` is the shortest time between renewals of a changed row.
    pub fn change(&mut self, min_interval: Span, change: impl FnOnce(&mut Row)) {
        let before = self.row.clone();
        change(&mut self.row);
        if self.row != before {
            self.row.renewals += 1;
            self.has_unsent_change = true;
            self.next_renewal = self.next_renewal.min(self.last_sent + min_interval);
        }
    }

    /// Invalidates the lease because the process was suspended, and renews it at once.
    pub fn invalidate(&mut self, now: Time) {
        self.valid_until = Time::ZERO;
        self.next_renewal = self.next_renewal.min(now);
    }

    /// Returns the renewal to send if one is due. `interval` applies until the next one, `term` to this
    /// one's lease.
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
                address: at.clone(),
                revision: self.revision,
            }],
            writes: vec![Write {
                address: at,
                value: serde_json::to_value(&self.row).unwrap_or(Value::Null),
            }],
        }))
    }

    /// Handles a renewal's outcome; a failed one is retried after `retry_delay`.
    pub fn handle_outcome(&mut self, now: Time, outcome: Outcome, retry_delay: Span) {
        let Some((sent, term)) = self.in_flight.take() else {
            return;
        };
        match outcome {
            Outcome::Committed(revision) => self.complete_renewal(now, sent + term, revision),
            Outcome::Conflict(failed) => {
                // Either our own earlier write, whose answer was lost, or others removed the row.
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

    /// Returns when the next renewal is due.
    pub fn next_wake(&self) -> Option<Time> {
        (self.in_flight.is_none() && !self.left).then_some(self.next_renewal)
    }

    fn complete_renewal(&mut self, now: Time, valid_until: Time, revision: u64) {
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

//! State machine of a process that competes for one exclusive lease.
//!
//! Guards against three faults:
//! - Two holders: a holder that is paused past its lease continues to send orders beside its successor.
//! - No holder: the answer to a write is lost, and the writer doesn't know that it holds the lease.
//! - A falling fencing number: a delayed write takes effect after a newer one.
//!
//! Every write is a compare-and-set on the row's revision, so writes are totally ordered and a delayed
//! one fails. The fencing number rises with each change of holder. The holder counts the term from
//! before it sent its write; rivals count it from when they first saw the row.

use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use store::backoff::Backoff;
use store::call;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Transaction;
use store::call::Write;
use store::revision::Revision;

use crate::configs::claim::Settings;
use crate::holder;
use crate::stall::Detector;
use crate::watch::Watch;

/// Name of the table that holds the leases.
pub const TABLE: &str = "leases";

/// Bits of a fencing number that count within one era of the table service.
const ERA_FENCE_BITS: u32 = 24;
/// Poll intervals that a rival waits after it was notified of a renewal.
const POLLS_AFTER_RENEWAL: u64 = 2;

/// Row of a lease. It is never deleted, so its fencing number never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Process that holds the lease; `None` after a release.
    pub holder: Option<holder::Id>,
    /// Fencing number; rises by one with each change of holder.
    pub fence: u64,
    /// Time that the lease lasts from each renewal, in milliseconds.
    pub term_ms: u64,
    /// Identifies the write attempt, so that a writer whose answer was lost recognizes its own row.
    pub token: SmolStr,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// A store call has completed.
    Store {
        /// Identifier of the call.
        id: call::Id,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// Sets whether this process wants the lease. A holder that no longer wants it releases it.
    Want(bool),
    /// A holder is known to be dead, so nobody need wait for its lease to lapse. The embedder must be sure
    /// that no instruction of it runs any more, for example because it has since bound the process's port.
    Gone(holder::Id),
    /// The holder published a renewal, taken from its [`Effect::Renewed`].
    Renewed(call::Row),
    /// The holder with this fencing number announced by [`Effect::Lost`] that it gave up the lease. Neither
    /// it nor any earlier holder acts any more.
    Relinquished(u64),
}

/// Action that the embedder must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call.
    Store {
        /// Identifier to return with the outcome.
        id: call::Id,
        /// The call to make.
        call: Call,
    },
    /// This process now holds the lease under this fencing number.
    Gained(u64),
    /// This process no longer holds the lease under this fencing number, and never will again.
    Lost(u64),
    /// The lease was gained or renewed and this is its row. Rivals that receive it need not poll the row.
    Renewed(call::Row),
}

/// Competes for one lease and holds it.
#[derive(Clone, Debug)]
pub struct Claim {
    me: holder::Id,
    address: Address,
    settings: Settings,
    wanted: bool,
    /// Holders that the embedder reported dead.
    gone_holders: BTreeSet<holder::Id>,
    /// Highest fencing number that is known to be no longer in force.
    relinquished_fence: u64,
    /// Highest fencing number seen in any row.
    highest_fence: u64,
    /// Fencing number under which the lease is held until `valid_until`.
    held_fence: u64,
    /// The store lost acknowledged writes; until this time a lease may be in force that no row shows.
    recovering_until: Time,
    /// Row as last seen, with the watch that tracks its revision.
    last_row: Option<(Row, Watch)>,
    /// Whether a read was answered since the last write whose outcome is unknown.
    is_row_known: bool,
    valid_until: Time,
    /// Row of a renewal that is not yet reported to the embedder.
    unreported_renewal: Option<call::Row>,
    /// Fencing number under which the lease was reported as held.
    reported_fence: Option<u64>,
    in_flight: Option<InFlight>,
    write_attempts: u64,
    next_call_id: u64,
    next_action: Time,
    stalls: Detector,
    backoff: Backoff,
}

/// Store call that awaits its outcome.
#[derive(Clone, Debug)]
struct InFlight {
    id: call::Id,
    sent_at: Time,
    /// Row being written; `None` for a read.
    row: Option<Row>,
}

impl Claim {
    /// Creates a claim on the lease `name`, not wanted yet.
    pub fn new(me: holder::Id, name: &str, settings: Settings, seed: u64) -> Claim {
        Claim {
            me,
            address: Address::new(TABLE, name),
            wanted: false,
            gone_holders: BTreeSet::new(),
            relinquished_fence: 0,
            highest_fence: 0,
            held_fence: 0,
            recovering_until: Time::ZERO,
            last_row: None,
            is_row_known: false,
            valid_until: Time::ZERO,
            unreported_renewal: None,
            reported_fence: None,
            in_flight: None,
            write_attempts: 0,
            next_call_id: 0,
            next_action: Time::ZERO,
            stalls: Detector::new(settings.max_step_gap),
            backoff: Backoff::new(settings.retry_delay, settings.max_retry_delay, seed),
            settings,
        }
    }

    /// Returns the fencing number while the lease is valid. Check again where an effect leaves the process.
    pub fn fence(&self, now: Time) -> Option<u64> {
        if !self.wanted || now >= self.valid_until || self.stalls.has_stalled(now) {
            return None;
        }
        (self.held_fence > self.relinquished_fence).then_some(self.held_fence)
    }

    /// Returns when the lease expires by the local clock unless it is renewed.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        if self.stalls.record_step(now) {
            self.valid_until = Time::ZERO;
            self.next_action = self.next_action.min(now);
        }
        match event {
            Event::Wake => {}
            Event::Store { id, outcome } => self.handle_outcome(now, id, outcome),
            Event::Want(wanted) => {
                self.next_action = now;
                self.wanted = wanted;
            }
            Event::Gone(id) => {
                self.gone_holders.insert(id);
                self.next_action = now;
            }
            Event::Renewed(row) => self.handle_renewal(now, row),
            Event::Relinquished(fence) if fence > self.relinquished_fence => {
                self.relinquished_fence = fence;
                self.next_action = now;
            }
            Event::Relinquished(_) => {}
        }
        // Report an expired lease as lost before the next write, so that the write takes a new number.
        self.report_changes(now, effects);
        self.send_due_call(now, effects);
        self.report_changes(now, effects);
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn next_wake(&self, now: Time) -> Time {
        let half_gap = now + self.settings.max_step_gap.scaled(0.5);
        let due = if self.in_flight.is_some() {
            half_gap
        } else {
            self.next_action.min(half_gap)
        };
        match self.reported_fence {
            Some(_) => due.min(self.valid_until),
            None => due,
        }
    }

    /// Handles the outcome of the call in flight; outcomes of other calls are ignored.
    fn handle_outcome(&mut self, now: Time, id: call::Id, outcome: Outcome) {
        let Some(call) = self.in_flight.take_if(|call| call.id == id) else {
            return;
        };
        match (outcome, call.row) {
            (Outcome::Row(row), None) => {
                self.backoff.reset();
                self.is_row_known = true;
                self.observe_row(call.sent_at, now, row);
                if self.may_write(now) {
                    self.next_action = now;
                }
            }
            (Outcome::Committed(revision), Some(row)) => {
                self.backoff.reset();
                self.handle_commit(now, call.sent_at, row, revision);
            }
            (Outcome::Conflict(failed), Some(_)) => {
                self.backoff.reset();
                let row = failed.into_iter().next().and_then(|(_, row)| row);
                self.is_row_known = true;
                self.observe_row(call.sent_at, now, row);
                self.next_action = now;
            }
            (Outcome::Unknown, Some(_)) => {
                self.is_row_known = false;
                self.next_action = now + self.backoff.next_delay();
            }
            _ => self.next_action = now + self.backoff.next_delay(),
        }
    }

    /// Records the row that a read or a conflict returned.
    fn observe_row(&mut self, requested_at: Time, now: Time, row: Option<call::Row>) {
        let Some(row) = row else {
            // Rows are never deleted, so a missing row means that the store was restored from a backup.
            if self.last_row.take().is_some() {
                self.begin_recovery(now);
            }
            return;
        };
        let Ok(value) = serde_json::from_value::<Row>(row.value) else {
            return;
        };
        self.highest_fence = self.highest_fence.max(value.fence);
        match &mut self.last_row {
            Some((_, watch)) if watch.revision() > row.revision => return,
            Some((old, watch)) => {
                let is_restored = Revision::is_of_older_era(watch.revision(), row.revision);
                watch.observe(row.revision, requested_at, now);
                *old = value;
                if is_restored {
                    return self.begin_recovery(now);
                }
            }
            None => self.last_row = Some((value, Watch::new(row.revision, now))),
        }
        if !self.is_own() && now >= self.recovering_until {
            self.valid_until = Time::ZERO;
        }
    }

    /// Handles a row that shows less than was acknowledged, after a restore of the store. A lease granted
    /// before the restore stays in force: its holder writes the row again, and nobody else takes the lease
    /// until it has certainly lapsed.
    fn begin_recovery(&mut self, now: Time) {
        self.recovering_until = now + self.settings.term + self.settings.margin;
    }

    /// Returns whether this process holds the lease by its own clock, whatever the row shows.
    fn is_holding(&self, now: Time) -> bool {
        self.reported_fence
            .is_some_and(|fence| self.fence(now) == Some(fence))
    }

    /// Records a renewal that the holder published, and postpones the next poll.
    fn handle_renewal(&mut self, now: Time, row: call::Row) {
        let revision = self.last_row.as_ref().map(|(_, watch)| watch.revision());
        if revision.is_some_and(|known| known >= row.revision) {
            return;
        }
        self.is_row_known |= self.in_flight.is_none();
        self.observe_row(now, now, Some(row));
        self.next_action = self
            .next_action
            .max(now + self.settings.poll_interval.times(POLLS_AFTER_RENEWAL));
    }

    /// Records a committed write of this process.
    fn handle_commit(&mut self, now: Time, sent_at: Time, row: Row, revision: u64) {
        self.is_row_known = true;
        let was_holding = self.is_holding(now);
        self.held_fence = row.fence;
        self.highest_fence = self.highest_fence.max(row.fence);
        self.unreported_renewal = row.holder.map(|_| call::Row {
            key: self.address.key.clone(),
            value: serde_json::to_value(&row).unwrap_or(Value::Null),
            revision,
        });
        self.valid_until = match row.holder {
            Some(_) => sent_at + self.settings.term,
            None => Time::ZERO,
        };
        let fence = row.fence;
        self.last_row = Some((row, Watch::new(revision, now)));
        // The row was missing in an era in which it may have been lost, so an unseen lease may be in force.
        if !was_holding && fence <= self.fence_floor() {
            self.valid_until = Time::ZERO;
            self.unreported_renewal = None;
            self.begin_recovery(now);
        }
        self.next_action = now
            + self
                .backoff
                .jitter(self.settings.renewal_interval)
                .min(self.settings.renewal_interval);
    }

    /// Returns whether the lease belongs to this process or may be taken.
    fn may_write(&self, now: Time) -> bool {
        if now < self.recovering_until {
            return self.is_holding(now);
        }
        let last_row = self.last_row.as_ref();
        self.is_own() || last_row.is_none_or(|(row, watch)| self.is_free(row, watch))
    }

    /// Returns whether the lease may be taken: released, relinquished, held by a dead process, or lapsed.
    fn is_free(&self, row: &Row, watch: &Watch) -> bool {
        let term = Span::from_millis(row.term_ms);
        let has_no_holder = row
            .holder
            .is_none_or(|holder| self.gone_holders.contains(&holder));
        has_no_holder
            || row.fence <= self.relinquished_fence
            || watch.has_lapsed(term, self.settings.margin)
    }

    fn is_own(&self) -> bool {
        self.last_row
            .as_ref()
            .is_some_and(|(row, _)| row.holder == Some(self.me))
    }

    /// Sends the call that is due, if any.
    fn send_due_call(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.next_action || self.in_flight.is_some() {
            return;
        }
        self.next_action = self.next_read_time(now);
        if !self.is_row_known {
            return self.read(now, effects);
        }
        let is_own = self.is_own();
        match &self.last_row {
            Some((row, _)) if is_own && !self.wanted => {
                let fence = row.fence;
                self.write(now, None, fence, effects);
            }
            _ if !self.wanted => self.next_action = now + self.settings.poll_interval,
            _ if self.is_holding(now) => self.write(now, Some(self.me), self.held_fence, effects),
            _ if now < self.recovering_until => self.read(now, effects),
            Some((row, _)) if is_own && row.fence > self.fence_floor() => {
                let fence = row.fence;
                self.write(now, Some(self.me), fence, effects);
            }
            Some((row, watch)) if !self.is_free(row, watch) => {
                self.read(now, effects);
            }
            _ => self.write(now, Some(self.me), self.next_fence(), effects),
        }
    }

    /// Returns a number above all that were ever in use, including those of holders that no row shows.
    fn next_fence(&self) -> u64 {
        self.highest_fence.max(self.fence_floor()) + 1
    }

    /// Returns the number up to which no lease can be gained: it was relinquished, or may belong to a
    /// holder of an earlier era.
    fn fence_floor(&self) -> u64 {
        let revision = self
            .last_row
            .as_ref()
            .map_or(0, |(_, watch)| watch.revision());
        let era = Revision::unpacked(revision).era;
        self.relinquished_fence.max(era << ERA_FENCE_BITS)
    }

    /// Returns when to read the row again, in time to detect that the lease has lapsed.
    fn next_read_time(&mut self, now: Time) -> Time {
        let poll = now + self.backoff.jitter(self.settings.poll_interval);
        let lapse = self.last_row.as_ref().map(|(row, watch)| {
            let term = Span::from_millis(row.term_ms);
            let lapse = watch.lapses_at(term, self.settings.margin);
            lapse.max(self.recovering_until)
        });
        lapse
            .filter(|lapse| *lapse > now)
            .map_or(poll, |lapse| poll.min(lapse))
    }

    fn read(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let at = self.address.clone();
        self.send_call(now, Call::Get { address: at }, None, effects);
    }

    fn write(
        &mut self,
        now: Time,
        holder: Option<holder::Id>,
        fence: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.write_attempts += 1;
        let row = Row {
            holder,
            fence,
            term_ms: self.settings.term.as_millis(),
            token: format_smolstr!("{}/{}", self.me, self.write_attempts),
        };
        let transaction = Transaction {
            token: row.token.clone(),
            checks: vec![Check {
                address: self.address.clone(),
                revision: self.last_row.as_ref().map(|(_, watch)| watch.revision()),
            }],
            writes: vec![Write {
                address: self.address.clone(),
                value: serde_json::to_value(&row).unwrap_or(Value::Null),
            }],
        };
        self.send_call(now, Call::Transact(transaction), Some(row), effects);
    }

    fn send_call(&mut self, now: Time, call: Call, row: Option<Row>, effects: &mut Vec<Effect>) {
        let id = call::Id(self.next_call_id);
        self.next_call_id += 1;
        self.in_flight = Some(InFlight {
            id,
            sent_at: now,
            row,
        });
        effects.push(Effect::Store { id, call });
    }

    /// Reports changes of the held lease to the embedder.
    fn report_changes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let fence = self.fence(now);
        if let Some(row) = self.unreported_renewal.take_if(|_| fence.is_some()) {
            effects.push(Effect::Renewed(row));
        }
        if fence == self.reported_fence {
            return;
        }
        if let Some(lost) = std::mem::replace(&mut self.reported_fence, fence) {
            self.relinquished_fence = self.relinquished_fence.max(lost);
            effects.push(Effect::Lost(lost));
        }
        if let Some(fence) = fence {
            effects.push(Effect::Gained(fence));
        }
    }
}

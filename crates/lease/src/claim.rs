//! One lease that only one process may hold at a time.
//!
//! Failures guarded against, with what they look like: a holder that is paused past its lease goes on
//! giving orders beside its successor (two holders); a write whose answer was lost makes a holder of
//! one who doesn't know it (nobody acts), or an older write lands late (the fence falls back). Every
//! write checks the row's revision, so writes take effect in one order and none comes late; the
//! fencing number rises with each change of holder; the holder counts from before it sent, and those
//! who wait from after they saw.

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

/// The table of leases.
pub const TABLE: &str = "leases";

/// Fencing numbers of one era, as bits.
const ERA_FENCES: u32 = 24;
/// A rival that heard of a renewal looks at the row itself only after so many times the usual pause.
const QUIET_POLLS: u64 = 2;

/// The lease's row. It is never deleted, so that its fencing number never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who holds it; none after it was released.
    pub holder: Option<holder::Id>,
    /// Rises by one with each change of holder.
    pub fence: u64,
    /// How long it runs from each renewal, milliseconds.
    pub term_ms: u64,
    /// Names the attempt that wrote the row, so that a lost answer can be read back.
    pub token: SmolStr,
}

/// What happens to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Wake,
    /// A store call has ended.
    Store {
        /// Which.
        id: call::Id,
        /// How.
        outcome: Outcome,
    },
    /// Whether this process wants the lease; a holder that doesn't any more releases it.
    Want(bool),
    /// A holder is gone for certain: its lease needn't be waited for. The embedder must know that no
    /// instruction of it runs any more, as of a process whose own port it has bound since.
    Gone(holder::Id),
    /// The holder's own word of its last renewal, from [`Effect::Renewed`].
    Renewed(call::Row),
    /// The holder under this fencing number gave up, by its own word in [`Effect::Lost`]: neither it nor one before it
    /// acts any more.
    Relinquished(u64),
}

/// What the embedder is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make a store call.
    Store {
        /// Given back with its outcome.
        id: call::Id,
        /// The call.
        call: Call,
    },
    /// The lease is held from now on, under this fencing number.
    Gained(u64),
    /// The lease under this fencing number is held no longer, and never will be again.
    Lost(u64),
    /// The lease was gained or renewed, and its row is now this. Rivals that know it need not look for themselves.
    Renewed(call::Row),
}

/// The state machine.
#[derive(Clone, Debug)]
pub struct Claim {
    me: holder::Id,
    at: Address,
    settings: Settings,
    wanted: bool,
    /// Holders that are gone for certain; as many as were told of.
    gone: BTreeSet<holder::Id>,
    /// No lease under a number up to this one is in force.
    ended: u64,
    /// The highest number that a row has shown.
    highest: u64,
    /// The number under which the lease is held until `valid_until`.
    held: u64,
    /// The service has lost what it had acknowledged: until then another may hold a lease that no row shows.
    recovering: Time,
    /// The row as last seen; the watch follows its revision.
    seen: Option<(Row, Watch)>,
    /// Whether a read was answered since the last uncertain write.
    known: bool,
    valid_until: Time,
    /// The row as we wrote it, until the embedder is told.
    renewed: Option<call::Row>,
    /// The number under which the embedder was told that we hold it.
    told: Option<u64>,
    sent: Option<Sent>,
    attempts: u64,
    next_call: u64,
    next: Time,
    stalls: Detector,
    backoff: Backoff,
}

/// The call on its way.
#[derive(Clone, Debug)]
struct Sent {
    id: call::Id,
    at: Time,
    /// What is written; none for a read.
    row: Option<Row>,
}

impl Claim {
    /// A claim on the lease of this name, not wanted yet.
    pub fn new(me: holder::Id, name: &str, settings: Settings, seed: u64) -> Claim {
        Claim {
            me,
            at: Address::new(TABLE, name),
            wanted: false,
            gone: BTreeSet::new(),
            ended: 0,
            highest: 0,
            held: 0,
            recovering: Time::ZERO,
            seen: None,
            known: false,
            valid_until: Time::ZERO,
            renewed: None,
            told: None,
            sent: None,
            attempts: 0,
            next_call: 0,
            next: Time::ZERO,
            stalls: Detector::new(settings.max_step_gap),
            backoff: Backoff::new(settings.retry_delay, settings.max_retry_delay, seed),
            settings,
        }
    }

    /// The fencing number if the lease is valid; to be asked again where an effect leaves.
    pub fn fence(&self, now: Time) -> Option<u64> {
        if !self.wanted || now >= self.valid_until || self.stalls.has_stalled(now) {
            return None;
        }
        (self.held > self.ended).then_some(self.held)
    }

    /// When the lease ends by our clock, unless it is renewed before.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Takes one event and appends what is to be done.
    pub fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        if self.stalls.record_step(now) {
            self.valid_until = Time::ZERO;
            self.next = self.next.min(now);
        }
        match event {
            Event::Wake => {}
            Event::Store { id, outcome } => self.answered(now, id, outcome),
            Event::Want(wanted) => {
                self.next = now;
                self.wanted = wanted;
            }
            Event::Gone(id) => {
                self.gone.insert(id);
                self.next = now;
            }
            Event::Renewed(row) => self.was_renewed(now, row),
            Event::Relinquished(fence) if fence > self.ended => {
                self.ended = fence;
                self.next = now;
            }
            Event::Relinquished(_) => {}
        }
        // A lease that has run out is given up before the next write, which is then under a new number.
        self.report(now, effects);
        self.act(now, effects);
        self.report(now, effects);
    }

    /// When [`Event::Wake`] is wanted next.
    pub fn next_wake(&self, now: Time) -> Time {
        let half_gap = now + self.settings.max_step_gap.scaled(0.5);
        let due = if self.sent.is_some() {
            half_gap
        } else {
            self.next.min(half_gap)
        };
        match self.told {
            Some(_) => due.min(self.valid_until),
            None => due,
        }
    }

    fn answered(&mut self, now: Time, id: call::Id, outcome: Outcome) {
        let Some(sent) = self.sent.take_if(|sent| sent.id == id) else {
            return;
        };
        match (outcome, sent.row) {
            (Outcome::Row(row), None) => {
                self.backoff.reset();
                self.known = true;
                self.see(sent.at, now, row);
                if self.may_write(now) {
                    self.next = now;
                }
            }
            (Outcome::Committed(revision), Some(row)) => {
                self.backoff.reset();
                self.written(now, sent.at, row, revision);
            }
            (Outcome::Conflict(failed), Some(_)) => {
                self.backoff.reset();
                let row = failed.into_iter().next().and_then(|(_, row)| row);
                self.known = true;
                self.see(sent.at, now, row);
                self.next = now;
            }
            (Outcome::Unknown, Some(_)) => {
                self.known = false;
                self.next = now + self.backoff.fail();
            }
            _ => self.next = now + self.backoff.fail(),
        }
    }

    /// Notes the row as a read or a conflict showed it.
    fn see(&mut self, asked: Time, now: Time, row: Option<call::Row>) {
        let Some(row) = row else {
            // Rows are never deleted.
            if self.seen.take().is_some() {
                self.recover(now);
            }
            return;
        };
        let Ok(value) = serde_json::from_value::<Row>(row.value) else {
            return;
        };
        self.highest = self.highest.max(value.fence);
        match &mut self.seen {
            Some((_, watch)) if watch.revision() > row.revision => return,
            Some((old, watch)) => {
                let restored = Revision::is_of_older_era(watch.revision(), row.revision);
                watch.observe(row.revision, asked, now);
                *old = value;
                if restored {
                    return self.recover(now);
                }
            }
            None => self.seen = Some((value, Watch::new(row.revision, now))),
        }
        if !self.is_ours() && now >= self.recovering {
            self.valid_until = Time::ZERO;
        }
    }

    /// The row shows less than was acknowledged. A lease that was granted before runs on: its holder writes the row
    /// again, and nobody else takes it until it has lapsed for certain.
    fn recover(&mut self, now: Time) {
        self.recovering = now + self.settings.term + self.settings.margin;
    }

    /// Whether we hold the lease by our own clock, whatever the row shows.
    fn holds(&self, now: Time) -> bool {
        self.told.is_some_and(|told| self.fence(now) == Some(told))
    }

    /// Notes a renewal by its holder's word, and waits so much longer before the next look.
    fn was_renewed(&mut self, now: Time, row: call::Row) {
        let revision = self.seen.as_ref().map(|(_, watch)| watch.revision());
        if revision.is_some_and(|known| known >= row.revision) {
            return;
        }
        self.known |= self.sent.is_none();
        self.see(now, now, Some(row));
        self.next = self
            .next
            .max(now + self.settings.poll_interval.times(QUIET_POLLS));
    }

    fn written(&mut self, now: Time, sent: Time, row: Row, revision: u64) {
        self.known = true;
        let continued = self.holds(now);
        self.held = row.fence;
        self.highest = self.highest.max(row.fence);
        self.renewed = row.holder.map(|_| call::Row {
            key: self.at.key.clone(),
            value: serde_json::to_value(&row).unwrap_or(Value::Null),
            revision,
        });
        self.valid_until = match row.holder {
            Some(_) => sent + self.settings.term,
            None => Time::ZERO,
        };
        let fence = row.fence;
        self.seen = Some((row, Watch::new(revision, now)));
        // No row was there, of an era in which one may have been lost.
        if !continued && fence <= self.floor() {
            self.valid_until = Time::ZERO;
            self.renewed = None;
            self.recover(now);
        }
        self.next = now
            + self
                .backoff
                .spread(self.settings.renewal_interval)
                .min(self.settings.renewal_interval);
    }

    /// Whether the lease is ours or may be taken.
    fn may_write(&self, now: Time) -> bool {
        if now < self.recovering {
            return self.holds(now);
        }
        let seen = self.seen.as_ref();
        self.is_ours() || seen.is_none_or(|(row, watch)| self.is_free(row, watch))
    }

    /// Whether the lease may be taken: released, given up, its holder gone, or lapsed for certain.
    fn is_free(&self, row: &Row, watch: &Watch) -> bool {
        let term = Span::from_millis(row.term_ms);
        let holder = row.holder.is_none_or(|holder| self.gone.contains(&holder));
        holder || row.fence <= self.ended || watch.has_lapsed(term, self.settings.margin)
    }

    fn is_ours(&self) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|(row, _)| row.holder == Some(self.me))
    }

    /// Makes the call that is due, if any.
    fn act(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.next || self.sent.is_some() {
            return;
        }
        self.next = self.next_look(now);
        if !self.known {
            return self.read(now, effects);
        }
        let ours = self.is_ours();
        match &self.seen {
            Some((row, _)) if ours && !self.wanted => {
                let fence = row.fence;
                self.write(now, None, fence, effects);
            }
            _ if !self.wanted => self.next = now + self.settings.poll_interval,
            _ if self.holds(now) => self.write(now, Some(self.me), self.held, effects),
            _ if now < self.recovering => self.read(now, effects),
            Some((row, _)) if ours && row.fence > self.floor() => {
                let fence = row.fence;
                self.write(now, Some(self.me), fence, effects);
            }
            Some((row, watch)) if !self.is_free(row, watch) => {
                self.read(now, effects);
            }
            _ => self.write(now, Some(self.me), self.next_fence(), effects),
        }
    }

    /// A number above all that were ever in use, also by holders that no row shows any more.
    fn next_fence(&self) -> u64 {
        self.highest.max(self.floor()) + 1
    }

    /// Nobody gains the lease under a number up to this one: it ended, or may be that of an older era's holder.
    fn floor(&self) -> u64 {
        let revision = self.seen.as_ref().map_or(0, |(_, watch)| watch.revision());
        let era = Revision::unpacked(revision).era;
        self.ended.max(era << ERA_FENCES)
    }

    /// When to look at the row again: in time to see that the lease has lapsed.
    fn next_look(&mut self, now: Time) -> Time {
        let poll = now + self.backoff.spread(self.settings.poll_interval);
        let lapse = self.seen.as_ref().map(|(row, watch)| {
            let term = Span::from_millis(row.term_ms);
            let lapse = watch.lapses_at(term, self.settings.margin);
            lapse.max(self.recovering)
        });
        lapse
            .filter(|lapse| *lapse > now)
            .map_or(poll, |lapse| poll.min(lapse))
    }

    fn read(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let at = self.at.clone();
        self.call(now, Call::Get { at }, None, effects);
    }

    fn write(
        &mut self,
        now: Time,
        holder: Option<holder::Id>,
        fence: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.attempts += 1;
        let row = Row {
            holder,
            fence,
            term_ms: self.settings.term.as_millis(),
            token: format_smolstr!("{}/{}", self.me, self.attempts),
        };
        let transaction = Transaction {
            token: row.token.clone(),
            checks: vec![Check {
                at: self.at.clone(),
                revision: self.seen.as_ref().map(|(_, watch)| watch.revision()),
            }],
            writes: vec![Write {
                at: self.at.clone(),
                value: serde_json::to_value(&row).unwrap_or(Value::Null),
            }],
        };
        self.call(now, Call::Transact(transaction), Some(row), effects);
    }

    fn call(&mut self, now: Time, call: Call, row: Option<Row>, effects: &mut Vec<Effect>) {
        let id = call::Id(self.next_call);
        self.next_call += 1;
        self.sent = Some(Sent { id, at: now, row });
        effects.push(Effect::Store { id, call });
    }

    /// Tells the embedder of a change.
    fn report(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let fence = self.fence(now);
        if let Some(row) = self.renewed.take_if(|_| fence.is_some()) {
            effects.push(Effect::Renewed(row));
        }
        if fence == self.told {
            return;
        }
        if let Some(lost) = std::mem::replace(&mut self.told, fence) {
            self.ended = self.ended.max(lost);
            effects.push(Effect::Lost(lost));
        }
        if let Some(fence) = fence {
            effects.push(Effect::Gained(fence));
        }
    }
}

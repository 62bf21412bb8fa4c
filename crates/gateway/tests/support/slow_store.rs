//! A table service that takes time for calls, and fails some of them.

use gateway::event::Event;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use store::call;
use store::call::Call;
use store::call::Outcome;
use store::fake::Table;

/// Time after which an entry gives up a call without an answer.
const TIMEOUT_MS: u64 = 1_000;

/// Shares of calls that fail in some way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls that are refused, and not applied.
    pub refused: f64,
    /// Calls that are applied, and whose answers are lost.
    pub unanswered: f64,
    /// Calls without an answer that are applied seconds later.
    pub late: f64,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    Refused,
    Unanswered,
    /// The entry was cut off: neither is the call applied nor answered.
    Lost,
}

/// A call under way.
#[derive(Debug)]
struct Pending {
    entry: usize,
    life: u64,
    id: call::Id,
    call: Call,
    fate: Fate,
    /// When it is applied; `None` once it was.
    applied_at: Option<u64>,
    /// When its outcome reaches the entry; `None` once it did.
    answered_at: Option<u64>,
    outcome: Outcome,
}

/// The calls under way, and how long calls take.
#[derive(Debug)]
pub struct SlowStore {
    /// Longest time of a call on each way, milliseconds.
    pub latency_ms: u64,
    /// Faults of calls from now on.
    pub faults: Faults,
    random: Pcg64Mcg,
    pending: Vec<Pending>,
}

impl SlowStore {
    /// Creates a service without faults.
    pub fn new(seed: u64, latency_ms: u64) -> SlowStore {
        SlowStore {
            latency_ms,
            faults: Faults::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            pending: Vec::new(),
        }
    }

    /// Takes a call of an entry, which may be cut off from the service.
    pub fn call(
        &mut self,
        now: u64,
        entry: usize,
        life: u64,
        is_cut_off: bool,
        id: call::Id,
        call: Call,
    ) {
        let drawn: f64 = self.random.random();
        let Faults {
            refused,
            unanswered,
            late,
        } = self.faults;
        let mut applied_at = now + self.random.random_range(0..=self.latency_ms);
        let mut answered_at = applied_at + self.random.random_range(0..=self.latency_ms);
        let fate = if is_cut_off {
            Fate::Lost
        } else if drawn < refused {
            Fate::Refused
        } else if drawn < refused + unanswered {
            Fate::Unanswered
        } else if drawn < refused + unanswered + late {
            applied_at = now + self.random.random_range(1_000..6_000);
            Fate::Unanswered
        } else {
            Fate::Answered
        };
        if matches!(fate, Fate::Unanswered | Fate::Lost) {
            answered_at = now + TIMEOUT_MS;
        }
        let is_applied = matches!(fate, Fate::Answered | Fate::Unanswered);
        self.pending.push(Pending {
            entry,
            life,
            id,
            call,
            fate,
            applied_at: is_applied.then_some(applied_at),
            answered_at: Some(answered_at),
            outcome: Outcome::Unavailable,
        });
    }

    /// Applies the calls that are due; returns the outcomes that reach entries, with their lives.
    pub fn advance(&mut self, now: u64, table: &mut Table) -> Vec<(usize, u64, Event)> {
        let mut due: Vec<&mut Pending> = self
            .pending
            .iter_mut()
            .filter(|pending| pending.applied_at.is_some_and(|at| at <= now))
            .collect();
        due.sort_by_key(|pending| pending.applied_at);
        for pending in due {
            pending.applied_at = None;
            pending.outcome = table.apply(&pending.call);
        }
        let mut answers = Vec::new();
        for pending in &mut self.pending {
            if pending.answered_at.take_if(|at| *at <= now).is_none() {
                continue;
            }
            let is_write = matches!(pending.call, Call::Transact(_));
            let outcome = match pending.fate {
                Fate::Answered => pending.outcome.clone(),
                Fate::Refused => Outcome::Unavailable,
                Fate::Unanswered | Fate::Lost if is_write => Outcome::Unknown,
                Fate::Unanswered | Fate::Lost => Outcome::Unavailable,
            };
            let event = Event::Store {
                id: pending.id,
                outcome,
            };
            answers.push((pending.entry, pending.life, event));
        }
        self.pending
            .retain(|pending| pending.applied_at.is_some() || pending.answered_at.is_some());
        answers
    }
}

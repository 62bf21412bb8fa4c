//! Group commit of independent inserts.
//!
//! Many requests per second each need one row inserted before they run, but the service accepts only a few
//! hundred transactions per second and refuses the rest. Rows that arrive close together therefore share one
//! transaction. A row that already exists fails the whole transaction and is listed in the answer: only its
//! own caller gets the conflict, and the other rows go into the next transaction.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Time;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::call;
use crate::call::Address;
use crate::call::Call;
use crate::call::Check;
use crate::call::Outcome;
use crate::call::Row;
use crate::call::Transaction;
use crate::call::Write;
use crate::configs::batch::Settings;

/// Identifies an insert; assigned by the embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A row to insert if it doesn't exist.
#[derive(Clone, Debug, PartialEq)]
pub struct Insert {
    /// Returned with the outcome.
    pub ticket: Ticket,
    /// Address of the row.
    pub address: Address,
    /// Value of the row; contains the writer's own token, so that a read after a lost answer
    /// identifies the writer.
    pub value: Value,
}

/// Action for the embedder to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Makes a store call.
    Store {
        /// Returned with the outcome.
        id: call::Id,
        /// The call to make.
        call: Call,
    },
    /// Completes an insert: committed, in conflict with an existing row, unavailable or unknown.
    Done {
        /// Identifies the insert.
        ticket: Ticket,
        /// Outcome of the insert.
        outcome: Outcome,
    },
}

/// Queued inserts and transactions in flight.
#[derive(Clone, Debug)]
pub struct Batch {
    settings: Settings,
    queued: VecDeque<Insert>,
    /// When a partial batch is sent.
    flush_at: Time,
    in_flight: BTreeMap<call::Id, Vec<Insert>>,
    /// Maximum rows of the next transaction; halved after a conflict that listed no row.
    max_rows: usize,
    next_call: u64,
    name: SmolStr,
}

impl Batch {
    /// Creates an empty batch. `name` appears in the service's log.
    pub fn new(name: SmolStr, settings: Settings) -> Batch {
        Batch {
            queued: VecDeque::new(),
            flush_at: Time::ZERO,
            in_flight: BTreeMap::new(),
            max_rows: settings.rows,
            next_call: 0,
            name,
            settings,
        }
    }

    /// Queues an insert; refuses it immediately if the queue is full.
    pub fn insert(&mut self, now: Time, insert: Insert, effects: &mut Vec<Effect>) {
        if self.queued.len() >= self.settings.queue {
            effects.push(done_effect(&insert, Outcome::Unavailable));
            return;
        }
        if self.queued.is_empty() {
            self.flush_at = now + self.settings.linger;
        }
        self.queued.push_back(insert);
        self.poll(now, effects);
    }

    /// Handles the outcome of a transaction.
    pub fn handle_outcome(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(inserts) = self.in_flight.remove(&id) else {
            return;
        };
        match outcome {
            Outcome::Conflict(failed) => self.handle_conflict(now, inserts, failed, effects),
            outcome => {
                self.max_rows = self.settings.rows;
                for insert in &inserts {
                    effects.push(done_effect(insert, outcome.clone()));
                }
            }
        }
        self.poll(now, effects);
    }

    /// Sends batches that are full or due.
    pub fn poll(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while self.may_send(now) {
            let inserts = self.take_rows();
            if inserts.is_empty() {
                return;
            }
            let id = call::Id(self.next_call);
            self.next_call += 1;
            let call = Call::Transact(self.build_transaction(&inserts));
            self.in_flight.insert(id, inserts);
            effects.push(Effect::Store { id, call });
        }
    }

    /// Returns when [`Batch::poll`] should be called next.
    pub fn next_wake(&self) -> Option<Time> {
        let can_send = !self.queued.is_empty() && self.in_flight.len() < self.settings.concurrent;
        can_send.then_some(self.flush_at)
    }

    fn may_send(&self, now: Time) -> bool {
        let full = self.queued.len() >= self.settings.rows;
        !self.queued.is_empty()
            && self.in_flight.len() < self.settings.concurrent
            && (full || now >= self.flush_at)
    }

    /// Takes the next rows from the queue; an address in flight or already taken stays queued.
    fn take_rows(&mut self) -> Vec<Insert> {
        let mut addresses: BTreeSet<Address> = self
            .in_flight
            .values()
            .flatten()
            .map(|insert| insert.address.clone())
            .collect();
        let mut taken = Vec::new();
        let mut kept = VecDeque::new();
        for insert in std::mem::take(&mut self.queued) {
            if taken.len() < self.max_rows && addresses.insert(insert.address.clone()) {
                taken.push(insert);
            } else {
                kept.push_back(insert);
            }
        }
        self.queued = kept;
        taken
    }

    fn build_transaction(&self, inserts: &[Insert]) -> Transaction {
        let check = |insert: &Insert| Check {
            address: insert.address.clone(),
            revision: None,
        };
        let write = |insert: &Insert| Write {
            address: insert.address.clone(),
            value: insert.value.clone(),
        };
        Transaction {
            token: format_smolstr!("{}/{}", self.name, self.next_call),
            checks: inserts.iter().map(check).collect(),
            writes: inserts.iter().map(write).collect(),
        }
    }

    /// Completes the inserts whose rows exist and requeues the others, since nothing was written.
    fn handle_conflict(
        &mut self,
        now: Time,
        inserts: Vec<Insert>,
        failed: Vec<(Address, Option<Row>)>,
        effects: &mut Vec<Effect>,
    ) {
        let mut failed: BTreeMap<Address, Option<Row>> = failed.into_iter().collect();
        let names_rows = inserts
            .iter()
            .any(|insert| failed.contains_key(&insert.address));
        if !names_rows && inserts.len() == 1 {
            effects.push(done_effect(&inserts[0], Outcome::Conflict(Vec::new())));
            return;
        }
        // If the service doesn't list the rows, halving the batch finds them.
        self.max_rows = if names_rows {
            self.settings.rows
        } else {
            inserts.len() / 2
        };
        self.flush_at = now;
        for insert in inserts.into_iter().rev() {
            match failed.remove(&insert.address) {
                Some(row) => {
                    let conflict = Outcome::Conflict(vec![(insert.address.clone(), row)]);
                    effects.push(done_effect(&insert, conflict));
                }
                None => self.queued.push_front(insert),
            }
        }
    }
}

fn done_effect(insert: &Insert, outcome: Outcome) -> Effect {
    Effect::Done {
        ticket: insert.ticket,
        outcome,
    }
}

//! Fake table service whose answers may be late or lost.

use clock::Span;
use entry::event::Event;
use store::call::Call;
use store::call::Id;
use store::call::Outcome;
use store::fake::Fault;
use store::fake::Table;

use crate::world::Bug;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::input::Input;

/// Time after which the sender of a call stops waiting.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);

/// Largest extra delay of a slow service in each direction, in milliseconds.
const SLOW_STORE_MILLIS: u64 = 2_500;

/// The service and its state.
#[derive(Default)]
pub(crate) struct StoreState {
    pub table: Table,
    pub slow: bool,
}

/// A call in flight to the service.
pub(crate) struct Arrival {
    node: usize,
    id: Id,
    call: Call,
    /// Whether its sender times out before the answer arrives.
    timed_out: bool,
    answer_delay: Span,
}

impl Arrival {
    /// Returns whether the call writes to `table`.
    pub fn writes_to(&self, table: &str) -> bool {
        match &self.call {
            Call::Transact(transaction) => transaction
                .writes
                .iter()
                .any(|write| write.address.table == table),
            _ => false,
        }
    }
}

impl World {
    /// Sends a reducer's call to the service.
    pub(crate) fn call_store(&mut self, node: usize, id: Id, call: Call) {
        let slow = self.store.slow;
        let limit = if slow { SLOW_STORE_MILLIS } else { 4 };
        let request_delay = NETWORK_DELAY + Span::from_millis(self.random_below(limit));
        let answer_delay = NETWORK_DELAY + Span::from_millis(self.random_below(limit));
        let timed_out = request_delay + answer_delay > CALL_TIMEOUT;
        if timed_out {
            let outcome = timeout_outcome(&call);
            let input = Input::Event(Event::Store { id, outcome });
            self.after(CALL_TIMEOUT, Occurrence::Input(node, input));
        }
        let arrival = Arrival {
            node,
            id,
            call,
            timed_out,
            answer_delay,
        };
        self.after(request_delay, Occurrence::Store(arrival));
    }

    /// Applies a call that has reached the service, even if its sender no longer waits.
    pub(crate) fn store_receives(&mut self, arrival: Arrival) {
        let call = match (self.bug, arrival.call) {
            (Bug::IgnoreChecks, Call::Transact(mut transaction)) => {
                let checks_intent = transaction
                    .checks
                    .iter()
                    .any(|check| check.address.table == "intents");
                if checks_intent {
                    transaction.checks.clear();
                }
                Call::Transact(transaction)
            }
            (_, call) => call,
        };
        let outcome = self.store.table.apply(&call);
        if arrival.timed_out {
            return;
        }
        let unknown = outcome == Outcome::Unknown;
        let answer_delay = if unknown {
            CALL_TIMEOUT
        } else {
            arrival.answer_delay
        };
        let event = Event::Store {
            id: arrival.id,
            outcome,
        };
        self.after(
            answer_delay,
            Occurrence::Input(arrival.node, Input::Event(event)),
        );
    }

    /// Queues `count` faults of the service.
    pub(crate) fn push_store_faults(&mut self, count: u32, fault: Fault) {
        for _ in 0..count {
            self.store.table.push_fault(fault);
        }
    }
}

/// Returns the outcome that the sender of a timed-out call assumes.
fn timeout_outcome(call: &Call) -> Outcome {
    match call {
        Call::Transact(_) => Outcome::Unknown,
        _ => Outcome::Unavailable,
    }
}

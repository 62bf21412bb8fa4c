//! Fake table service whose answers may be late or lost.

use clock::Span;
use entry::event::Event;
use store::call::Call;
use store::call::Id;
use store::call::Outcome;
use store::fake::Fault;
use store::fake::Table;

use crate::world::Bug;
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::input::Input;

/// Time after which the sender of a call stops waiting.
const WAIT: Span = Span::from_millis(1_000);

/// Largest extra delay of a slow service in each direction, in milliseconds.
const SLOW: u64 = 2_500;

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
    late: bool,
    back: Span,
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
    pub(crate) fn store_asked(&mut self, node: usize, id: Id, call: Call) {
        let slow = self.store.slow;
        let most = if slow { SLOW } else { 4 };
        let there = HOP + Span::from_millis(self.draw(most));
        let back = HOP + Span::from_millis(self.draw(most));
        let late = there + back > WAIT;
        if late {
            let outcome = given_up(&call);
            let input = Input::Event(Event::Store { id, outcome });
            self.after(WAIT, Happening::Input(node, input));
        }
        let arrival = Arrival {
            node,
            id,
            call,
            late,
            back,
        };
        self.after(there, Happening::Store(arrival));
    }

    /// Applies a call that has reached the service, even if its sender no longer waits.
    pub(crate) fn store_lands(&mut self, arrival: Arrival) {
        let call = match (self.bug, arrival.call) {
            (Bug::IgnoreChecks, Call::Transact(mut transaction)) => {
                let intent = transaction
                    .checks
                    .iter()
                    .any(|check| check.address.table == "intents");
                if intent {
                    transaction.checks.clear();
                }
                Call::Transact(transaction)
            }
            (_, call) => call,
        };
        let outcome = self.store.table.apply(&call);
        if arrival.late {
            return;
        }
        let unknown = outcome == Outcome::Unknown;
        let back = if unknown { WAIT } else { arrival.back };
        let event = Event::Store {
            id: arrival.id,
            outcome,
        };
        self.after(back, Happening::Input(arrival.node, Input::Event(event)));
    }

    /// Queues `count` faults of the service.
    pub(crate) fn store_faults(&mut self, count: u32, fault: Fault) {
        for _ in 0..count {
            self.store.table.push_fault(fault);
        }
    }
}

/// Returns the outcome that the sender of a timed-out call assumes.
fn given_up(call: &Call) -> Outcome {
    match call {
        Call::Transact(_) => Outcome::Unknown,
        _ => Outcome::Unavailable,
    }
}

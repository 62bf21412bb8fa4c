//! Calls of the table service: whom each is for, and its turn within this entry's share.
//!
//! Answers the pattern of many entries that come back at once after an outage: each spends only its
//! share of what the service takes, renewals before the configuration, that before callers' rows, those
//! before summaries. Without it the burst takes the service down again, leases and all.

use clock::Time;
use smol_str::SmolStr;
use store::budget::Priority;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::effect::Effect;
use crate::entry::Entry;

/// Who waits for an answer of the table service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Waiter {
    /// The agreement machine, by its own number.
    Agreement(call::Id),
    /// The membership machine, by its own number.
    Membership(call::Id),
    /// The collector of the burn report, by its own number.
    Collector(call::Id),
    /// The leader of a deployment, by its own number.
    Leader {
        /// Which deployment.
        deployment: SmolStr,
        /// Its number.
        id: call::Id,
    },
    /// A request's own row.
    Intent {
        /// Which request.
        serial: u64,
    },
}

impl Waiter {
    /// How urgent its calls are.
    fn priority(&self) -> Priority {
        match self {
            Waiter::Membership(_) | Waiter::Leader { .. } => Priority::Lease,
            Waiter::Agreement(_) => Priority::Config,
            Waiter::Intent { .. } => Priority::Intent,
            Waiter::Collector(_) => Priority::Summary,
        }
    }
}

impl Entry {
    /// Asks the table service something as soon as the share allows; the answer finds its way by
    /// `waiter`.
    pub(crate) fn queue_store_call(&mut self, waiter: Waiter, call: Call) {
        let id = call::Id(self.next_store_call);
        self.next_store_call += 1;
        let refused = self.throttle.push(waiter.priority(), id, call);
        self.store_calls.insert(id, waiter);
        if let Some((id, _)) = refused {
            self.rejected_store_calls.push(id);
        }
    }

    /// Makes the calls whose turn has come, and tells those that found the queue full.
    pub(crate) fn make_store_calls(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(id) = self.rejected_store_calls.pop() {
            self.route_store_answer(now, id, Outcome::Unavailable, effects);
        }
        while let Some((id, call)) = self.throttle.pop(now) {
            effects.push(Effect::Store { id, call });
        }
    }

    /// The table service answered a call.
    pub(crate) fn store_answered(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.store_available = !matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        self.route_store_answer(now, id, outcome, effects);
    }

    /// Passes an answer to whoever waits for it.
    fn route_store_answer(
        &mut self,
        now: Time,
        id: call::Id,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        match self.store_calls.remove(&id) {
            Some(Waiter::Agreement(id)) => {
                self.step_agreement(now, config::event::Event::Store { id, outcome }, effects);
            }
            Some(Waiter::Membership(id)) => {
                self.step_membership(now, member::event::Event::Store { id, outcome }, effects);
            }
            Some(Waiter::Collector(id)) => {
                let answered = burn::collector::Event::Store { id, outcome };
                self.step_collector(now, answered, effects);
            }
            Some(Waiter::Leader { deployment, id }) => {
                let answered = fleet::event::Event::Store { id, outcome };
                self.step_leader(now, &deployment, answered, effects);
            }
            Some(Waiter::Intent { serial }) => self.intent_answered(now, serial, outcome, effects),
            None => {}
        }
    }
}

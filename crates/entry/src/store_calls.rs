//! Calls to the table service: routes answers and limits the rate to this entry's share.
//!
//! Guards against a thundering herd of entries after an outage, which would take the table service down
//! again and with it all leases. Within its share an entry prefers lease renewals to configuration,
//! configuration to callers' rows, and those to summaries.

use clock::Time;
use smol_str::SmolStr;
use store::budget::Priority;
use store::call;
use store::call::Call;
use store::call::Outcome;

use crate::effect::Effect;
use crate::entry::Entry;

/// The recipient of an answer from the table service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Waiter {
    /// The agreement, with its own call id.
    Agreement(call::Id),
    /// The membership protocol, with its own call id.
    Membership(call::Id),
    /// The collector of the burn report, with its own call id.
    Collector(call::Id),
    /// The leader of a deployment, with its own call id.
    Leader {
        /// Name of the deployment.
        deployment: SmolStr,
        /// Call id of the leader.
        id: call::Id,
    },
    /// The row of a non-idempotent request.
    Intent {
        /// Serial of the request.
        serial: u64,
    },
}

impl Waiter {
    /// Returns the priority of the recipient's calls.
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
    /// Queues a call to the table service; its answer is routed to `waiter`.
    pub(crate) fn queue_store_call(&mut self, waiter: Waiter, call: Call) {
        let id = call::Id(self.next_store_call);
        self.next_store_call += 1;
        let rejected = self.throttle.push(waiter.priority(), id, call);
        self.store_calls.insert(id, waiter);
        if let Some((id, _)) = rejected {
            self.rejected_store_calls.push(id);
        }
    }

    /// Makes the calls that the rate limit allows and fails those that found the queue full.
    pub(crate) fn make_store_calls(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(id) = self.rejected_store_calls.pop() {
            self.route_store_answer(now, id, Outcome::Unavailable, effects);
        }
        while let Some((id, call)) = self.throttle.pop(now) {
            effects.push(Effect::Store { id, call });
        }
    }

    /// Handles the table service's answer to a call.
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

    /// Routes an answer to its recipient.
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
                let event = burn::collector::Event::Store { id, outcome };
                self.step_collector(now, event, effects);
            }
            Some(Waiter::Leader { deployment, id }) => {
                let event = fleet::event::Event::Store { id, outcome };
                self.step_leader(now, &deployment, event, effects);
            }
            Some(Waiter::Intent { serial }) => self.intent_answered(now, serial, outcome, effects),
            None => {}
        }
    }
}

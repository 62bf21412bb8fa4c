//! Performs the effects of a reducer, as the daemon's shell does.

use clock::Span;
use entry::attempt::Report;
use entry::effect::Effect;
use entry::event::Event;
use request::id::Incarnation;
use request::ledger::Answer;
use smol_str::SmolStr;

use crate::history::Cause;
use crate::history::Fact;
use crate::history::TryId;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::callers::Response;
use crate::world::input::Input;
use crate::world::node::Requester;

/// Time after which a call to a peer without an answer fails.
const PEER_TIMEOUT: Span = Span::from_millis(800);

/// Largest extra delay of a slow link, in milliseconds.
const SLOW_LINK_MILLIS: u64 = 1_500;

impl World {
    /// Performs one effect.
    pub(crate) fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Flight { serial, command } => self.command_flight(node, serial, command),
            Effect::Addresses { call, answer } => self.receive_addresses(node, call, answer),
            Effect::CancelAnswer { .. } | Effect::Log(_) => {}
            Effect::Operator { call, reply } => self.receive_operator_answer(node, call, reply),
            Effect::Store { id, call } => self.call_store(node, id, call),
            Effect::RequestSpend {
                serial,
                address,
                ticket,
            } => {
                let requester = Requester::Spend { from: node, serial };
                let event = move |call| Event::SpendRequested { call, ticket };
                let lost = Event::SpendAnswered {
                    serial,
                    answer: None,
                };
                self.call_peer(
                    node,
                    &address,
                    Input::Call(requester, Box::new(event)),
                    lost,
                );
            }
            Effect::OfferEstates { address, estates } => {
                self.handovers += 1;
                let requester = Requester::Heir { from: node };
                let event = move |call| Event::EstatesOffered { call, estates };
                let lost = Event::EstatesAccepted { heir: None };
                self.call_peer(
                    node,
                    &address,
                    Input::Call(requester, Box::new(event)),
                    lost,
                );
            }
            Effect::SpendAnswer { call, answer } => self.answer_spend(node, call, answer),
            Effect::EstatesAccepted { call, heir } => self.answer_heir(node, call, heir),
            Effect::SendDigest { address, digest } => {
                let event = Event::DigestReceived(digest);
                self.send_peer(node, &address, Input::Event(event));
            }
            Effect::SendConfigure { address, message } => {
                let from = self.nodes[node].identity.incarnation;
                let event = Event::ConfigureReceived { from, message };
                self.send_peer(node, &address, Input::Event(event));
            }
            Effect::Exit => self.exit_entry(node),
            // Fleet control is covered by the tests of its own crate.
            Effect::ReadEngine { .. }
            | Effect::OrderEngine { .. }
            | Effect::StartInstance { .. }
            | Effect::StopInstance { .. } => {}
        }
    }

    /// Queues an event of the process itself for its loop.
    pub(crate) fn send_event(&mut self, node: usize, event: Event) {
        self.after(NETWORK_DELAY, Occurrence::Input(node, Input::Event(event)));
    }

    /// Queues the report of a request's task on an attempt.
    pub(crate) fn send_report(&mut self, node: usize, serial: u64, attempt: u32, report: Report) {
        let event = Event::Attempt {
            serial,
            attempt,
            report,
        };
        self.send_event(node, event);
    }

    /// Returns the live node at a peer address, unless messages to it are lost.
    fn reachable_peer(&self, from: usize, address: &SmolStr) -> Option<usize> {
        let to = self
            .nodes
            .iter()
            .position(|node| node.identity.peer_address == *address)?;
        let slots = (self.nodes[from].slot, self.nodes[to].slot);
        (self.nodes[to].alive && !self.lost_links.contains(&slots)).then_some(to)
    }

    /// Returns the delay of a message to a peer.
    fn peer_delay(&mut self, from: usize, to: usize) -> Span {
        let slots = [self.nodes[from].slot, self.nodes[to].slot];
        let slow = slots.iter().any(|slot| self.slow_slots.contains(slot));
        let extra = if slow {
            self.random_below(SLOW_LINK_MILLIS)
        } else {
            self.random_below(2)
        };
        NETWORK_DELAY + Span::from_millis(extra)
    }

    /// Sends a message that may get lost.
    fn send_peer(&mut self, from: usize, address: &SmolStr, input: Input) {
        if let Some(to) = self.reachable_peer(from, address) {
            let time = self.peer_delay(from, to);
            self.after(time, Occurrence::Input(to, input));
        }
    }

    /// Calls a peer; a call whose answer is lost or late ends with `lost`.
    fn call_peer(&mut self, from: usize, address: &SmolStr, input: Input, lost: Event) {
        let to = self.reachable_peer(from, address);
        let wait = if to.is_some() {
            PEER_TIMEOUT
        } else {
            NETWORK_DELAY
        };
        if let Some(to) = to {
            let time = self.peer_delay(from, to);
            self.after(time, Occurrence::Input(to, input));
        }
        // If the answer came in time, the reducer ignores this event.
        self.after(wait, Occurrence::Input(from, Input::Event(lost)));
    }

    /// Answers a peer's call; the answer may get lost.
    fn answer_peer(&mut self, node: usize, to: usize, event: Event) {
        let address = self.nodes[to].identity.peer_address.clone();
        self.send_peer(node, &address, Input::Event(event));
    }

    fn answer_spend(&mut self, node: usize, call: u64, answer: Answer) {
        if let Some(Requester::Spend { from, serial }) = self.nodes[node].requesters.remove(&call) {
            let answer = Some(answer);
            self.answer_peer(node, from, Event::SpendAnswered { serial, answer });
        }
    }

    fn answer_heir(&mut self, node: usize, call: u64, heir: Option<Incarnation>) {
        if let Some(Requester::Heir { from }) = self.nodes[node].requesters.remove(&call) {
            self.answer_peer(node, from, Event::EstatesAccepted { heir });
        }
    }

    /// Ends the process after an orderly stop.
    fn exit_entry(&mut self, node: usize) {
        let slot = self.nodes[node].slot;
        self.end_entry(node, Cause::Exit);
        self.schedule_entry_start(slot);
    }

    /// Sends a response to the caller of a try.
    pub(crate) fn send_to_caller(&mut self, try_id: TryId, response: Response) {
        self.after(NETWORK_DELAY, Occurrence::CallerReceives(try_id, response));
    }

    /// Records that a backend server began to run a request.
    pub(crate) fn record_run(&mut self, try_id: TryId, server: SmolStr) {
        let request = self.request_of(try_id);
        self.record(Fact::Started {
            request,
            try_id,
            server,
        });
    }
}

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
use crate::history::Try;
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::callers::CallerWord;
use crate::world::input::Input;
use crate::world::node::Asker;

/// Time after which a call to a peer without an answer fails.
const PEER_WAIT: Span = Span::from_millis(800);

/// Largest extra delay of a slow link, in milliseconds.
const SLOW: u64 = 1_500;

impl World {
    /// Performs one effect.
    pub(crate) fn perform(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Flight { serial, command } => self.flight_commanded(node, serial, command),
            Effect::Addresses { call, answer } => self.addresses_given(node, call, answer),
            Effect::CancelAnswer { .. } | Effect::Log(_) => {}
            Effect::Operator { call, reply } => self.operator_answered(node, call, reply),
            Effect::Store { id, call } => self.store_asked(node, id, call),
            Effect::RequestSpend {
                serial,
                address,
                ticket,
            } => {
                let asker = Asker::Spend { from: node, serial };
                let event = move |call| Event::SpendRequested { call, ticket };
                let lost = Event::SpendAnswered {
                    serial,
                    answer: None,
                };
                self.call_peer(node, &address, Input::Asked(asker, Box::new(event)), lost);
            }
            Effect::OfferEstates { address, estates } => {
                self.handovers += 1;
                let asker = Asker::Heir { from: node };
                let event = move |call| Event::EstatesOffered { call, estates };
                let lost = Event::EstatesAccepted { heir: None };
                self.call_peer(node, &address, Input::Asked(asker, Box::new(event)), lost);
            }
            Effect::SpendAnswer { call, answer } => self.spend_answer(node, call, answer),
            Effect::EstatesAccepted { call, heir } => self.heir_answer(node, call, heir),
            Effect::SendDigest { address, digest } => {
                let event = Event::DigestReceived(digest);
                self.send_peer(node, &address, Input::Event(event));
            }
            Effect::SendConfigure { address, message } => {
                let from = self.nodes[node].identity.incarnation;
                let event = Event::ConfigureReceived { from, message };
                self.send_peer(node, &address, Input::Event(event));
            }
            Effect::Exit => self.exits(node),
            // Fleet control is covered by the tests of its own crate.
            Effect::ReadEngine { .. }
            | Effect::OrderEngine { .. }
            | Effect::StartInstance { .. }
            | Effect::StopInstance { .. } => {}
        }
    }

    /// Queues an event of the process itself for its loop.
    pub(crate) fn tell(&mut self, node: usize, event: Event) {
        self.after(HOP, Happening::Input(node, Input::Event(event)));
    }

    /// Queues the report of a request's task on an attempt.
    pub(crate) fn tell_attempt(&mut self, node: usize, serial: u64, attempt: u32, report: Report) {
        let event = Event::Attempt {
            serial,
            attempt,
            report,
        };
        self.tell(node, event);
    }

    /// Returns the live node at a peer address, unless messages to it are lost.
    fn peer_at(&self, from: usize, address: &SmolStr) -> Option<usize> {
        let to = self
            .nodes
            .iter()
            .position(|node| node.identity.peer_address == *address)?;
        let slots = (self.nodes[from].slot, self.nodes[to].slot);
        (self.nodes[to].alive && !self.cut.contains(&slots)).then_some(to)
    }

    /// Returns the delay of a message to a peer.
    fn peer_time(&mut self, from: usize, to: usize) -> Span {
        let slots = [self.nodes[from].slot, self.nodes[to].slot];
        let slow = slots.iter().any(|slot| self.slow.contains(slot));
        let more = if slow { self.draw(SLOW) } else { self.draw(2) };
        HOP + Span::from_millis(more)
    }

    /// Sends a message that may get lost.
    fn send_peer(&mut self, from: usize, address: &SmolStr, input: Input) {
        if let Some(to) = self.peer_at(from, address) {
            let time = self.peer_time(from, to);
            self.after(time, Happening::Input(to, input));
        }
    }

    /// Calls a peer; a call whose answer is lost or late ends with `lost`.
    fn call_peer(&mut self, from: usize, address: &SmolStr, input: Input, lost: Event) {
        let to = self.peer_at(from, address);
        let wait = if to.is_some() { PEER_WAIT } else { HOP };
        if let Some(to) = to {
            let time = self.peer_time(from, to);
            self.after(time, Happening::Input(to, input));
        }
        // If the answer came in time, the reducer ignores this event.
        self.after(wait, Happening::Input(from, Input::Event(lost)));
    }

    /// Answers a peer's call; the answer may get lost.
    fn answer_peer(&mut self, node: usize, to: usize, event: Event) {
        let address = self.nodes[to].identity.peer_address.clone();
        self.send_peer(node, &address, Input::Event(event));
    }

    fn spend_answer(&mut self, node: usize, call: u64, answer: Answer) {
        if let Some(Asker::Spend { from, serial }) = self.nodes[node].askers.remove(&call) {
            let answer = Some(answer);
            self.answer_peer(node, from, Event::SpendAnswered { serial, answer });
        }
    }

    fn heir_answer(&mut self, node: usize, call: u64, heir: Option<Incarnation>) {
        if let Some(Asker::Heir { from }) = self.nodes[node].askers.remove(&call) {
            self.answer_peer(node, from, Event::EstatesAccepted { heir });
        }
    }

    /// Ends the process after an orderly stop.
    fn exits(&mut self, node: usize) {
        let slot = self.nodes[node].slot;
        self.end_entry(node, Cause::Exit);
        self.entry_replaced(slot);
    }

    /// Sends a response to the caller of a try.
    pub(crate) fn tell_caller(&mut self, number: Try, word: CallerWord) {
        self.after(HOP, Happening::ToCaller(number, word));
    }

    /// Records that a backend server began to run a request.
    pub(crate) fn note_ran(&mut self, number: Try, server: SmolStr) {
        let ask = self.ask_of(number);
        self.note(Fact::Ran {
            ask,
            number,
            server,
        });
    }
}

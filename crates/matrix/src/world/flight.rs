//! Task of one open model call, as in the daemon but without sockets.

use clock::Span;
use entry::arrival::Arrival;
use entry::arrival::Work;
use entry::attempt::Endpoint;
use entry::attempt::Report;
use entry::effect::Command;
use policy::decision::Transfer;
use policy::job::End;
use request::id::Id;
use request::id::Stream;
use request::resume::Resume;
use request::sequencer::Sequencer;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::history::Ask;
use crate::history::Try;
use crate::world::Bug;
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::callers::CallerWord;
use crate::world::engine::EngineCall;
use crate::world::engine::Moving;
use crate::world::engine::Order;
use crate::world::engine::Reader;

/// One open call.
pub(crate) struct Flight {
    pub(super) number: Try,
    pub(super) ask: Ask,
    pub(super) origin: Id,
    pub(super) killer: bool,
    /// Length of the whole answer in tokens; 0 for a plain call.
    pub(super) tokens: u64,
    pub(super) account_deployment: SmolStr,
    pub plain: bool,
    /// Whether the reducer knows that the caller has disconnected.
    pub left: bool,
    /// Number of the running plain attempt; 0 before the first.
    pub plain_attempt: u32,
    pub(super) relay: Sequencer,
    pub(super) running: Option<Running>,
    /// Identifies the connection whose replies are accepted; 0 for none.
    pub(super) link: u64,
    pub(super) unreported: u32,
    pub(super) passed: u64,
    pub(super) most: u64,
    pub(super) emitted: u64,
}

/// The running attempt.
#[derive(Clone)]
pub(super) struct Running {
    pub(super) attempt: u32,
    pub(super) stream: Stream,
    pub(super) endpoint: Endpoint,
    pub(super) account: SmolStr,
    pub(super) base: u64,
    pub(super) how: Asked,
}

/// How the current stream was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Asked {
    Fresh,
    Again,
    Adopted,
}

impl Flight {
    /// Creates the task of a call that was received completely.
    pub fn new(
        number: Try,
        ask: Ask,
        origin: Id,
        arrival: &Arrival,
        killer: bool,
        tokens: u64,
    ) -> Flight {
        Flight {
            number,
            ask,
            origin,
            killer,
            tokens,
            account_deployment: arrival.deployment.clone(),
            plain: matches!(arrival.work, Work::Plain { .. }),
            left: false,
            plain_attempt: 0,
            relay: Sequencer::starting_at(arrival.offset),
            running: None,
            link: 0,
            unreported: 0,
            passed: 0,
            most: tokens.saturating_sub(arrival.offset),
            emitted: 0,
        }
    }

    /// Returns the try that this call serves.
    pub fn number(&self) -> Try {
        self.number
    }

    /// Returns the request that this call serves.
    pub fn ask(&self) -> Ask {
        self.ask
    }

    /// Returns whether the call goes on after its caller has disconnected.
    pub fn outlives_caller(&self) -> bool {
        self.plain && (self.left || self.plain_attempt > 0)
    }
}

impl World {
    /// Carries out a reducer's command for a request.
    pub(crate) fn flight_commanded(&mut self, node: usize, serial: u64, command: Command) {
        let Some(flight) = self.nodes[node].flights.get(&serial) else {
            return;
        };
        let number = flight.number;
        if flight.plain {
            return self.plain_commanded(node, serial, command);
        }
        match command {
            Command::Refuse(refusal) => {
                self.give_up_stream(node, serial);
                self.nodes[node].flights.remove(&serial);
                self.tell_caller(number, CallerWord::Refused(refusal));
            }
            Command::Stop => self.give_up_stream(node, serial),
            Command::Drop => {
                self.drop_reader(node, serial);
                self.nodes[node].flights.remove(&serial);
            }
            Command::HandOff { address } => {
                let token = self.token(node, serial);
                self.drop_reader(node, serial);
                self.nodes[node].flights.remove(&serial);
                if self.bug == Bug::LoseHandedOff {
                    let refusal = Refusal::may_have_run(Reason::BackendFailed, "lost");
                    return self.tell_caller(number, CallerWord::Refused(refusal));
                }
                self.tell_caller(number, CallerWord::Continue { address, token });
            }
            Command::Start {
                stream,
                endpoint,
                account,
                ..
            } => self.start_stream(node, serial, stream, endpoint, account),
            Command::Attach {
                attempt,
                stream,
                endpoint,
                base,
                account,
            } => {
                let how = Asked::Adopted;
                let running = Running {
                    attempt,
                    stream,
                    endpoint,
                    account,
                    base,
                    how,
                };
                self.attach(node, serial, running);
            }
            Command::Move {
                stream,
                endpoint,
                transfer,
            } => {
                self.move_stream(node, serial, stream, endpoint, transfer);
            }
        }
    }

    pub(super) fn flight(&mut self, node: usize, serial: u64) -> Option<&mut Flight> {
        self.nodes[node].flights.get_mut(&serial)
    }

    pub(super) fn start_stream(
        &mut self,
        node: usize,
        serial: u64,
        stream: Stream,
        endpoint: Endpoint,
        account: SmolStr,
    ) {
        let link = self.new_link();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        if flight.passed >= flight.most {
            return self.whole(node, serial, stream);
        }
        let base = flight.relay.next();
        flight.relay.begin_attempt(stream.attempt, base);
        flight.link = link;
        flight.running = Some(Running {
            attempt: stream.attempt,
            stream,
            endpoint: endpoint.clone(),
            account,
            base,
            how: Asked::Fresh,
        });
        let order = Order::Start {
            stream,
            ask: flight.ask,
            number: flight.number,
            killer: flight.killer,
            base,
            end: flight.tokens,
        };
        self.call_engine(node, serial, link, endpoint, order);
    }

    /// Finishes an answer that was cut between its last token and its end.
    fn whole(&mut self, node: usize, serial: u64, stream: Stream) {
        let Some(flight) = self.nodes[node].flights.remove(&serial) else {
            return;
        };
        let report = Report::Ended {
            end: End::Finished,
            tokens: flight.unreported,
        };
        let attempt = stream.attempt;
        self.tell_attempt(node, serial, attempt, report);
        self.tell_caller(flight.number, CallerWord::Done { owner: flight.ask });
    }

    pub(super) fn attach(&mut self, node: usize, serial: u64, running: Running) {
        let link = self.new_link();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.relay.begin_attempt(running.attempt, running.base);
        flight.link = link;
        let offset = flight.relay.next().saturating_sub(running.base);
        let (stream, endpoint) = (running.stream, running.endpoint.clone());
        flight.running = Some(running);
        self.call_engine(
            node,
            serial,
            link,
            endpoint,
            Order::Resume { stream, offset },
        );
    }

    fn move_stream(
        &mut self,
        node: usize,
        serial: u64,
        stream: Stream,
        endpoint: Endpoint,
        transfer: Transfer,
    ) {
        let link = self.new_link();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        let Some(old) = flight.running.clone() else {
            return;
        };
        let offset = flight.relay.next().saturating_sub(old.base);
        flight.relay.begin_attempt(stream.attempt, old.base);
        flight.link = link;
        flight.running = Some(Running {
            attempt: stream.attempt,
            stream,
            endpoint: endpoint.clone(),
            how: Asked::Fresh,
            ..old.clone()
        });
        let number = flight.number;
        let moving = Moving {
            from: old.endpoint.clone(),
            old: old.stream,
            to: endpoint.clone(),
            new: stream,
            offset,
            number,
            how: transfer,
        };
        self.call_engine(node, serial, link, old.endpoint, Order::Export(moving));
    }

    /// Returns the signed token with which the caller can resume the running stream.
    pub(super) fn token(&mut self, node: usize, serial: u64) -> Option<SmolStr> {
        let flight = self.nodes[node].flights.get(&serial)?;
        let running = flight.running.as_ref()?;
        let word = Resume {
            request: flight.origin,
            account: running.account.clone(),
            deployment: flight.account_deployment.clone(),
            stream: running.stream,
            address: running.endpoint.address.clone(),
            incarnation: running.endpoint.incarnation.clone(),
            base: running.base,
        };
        Some(SmolStr::from(self.seals.resume.sign(&word)))
    }

    /// Cancels the engine's work on a call that nobody waits for.
    pub(super) fn give_up_stream(&mut self, node: usize, serial: u64) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.link = 0;
        if let Some(running) = flight.running.take() {
            let stream = running.stream;
            self.call_engine(node, serial, 0, running.endpoint, Order::Cancel { stream });
        }
    }

    /// Sends an order to an engine; it arrives even if the sender ends meanwhile.
    fn call_engine(
        &mut self,
        node: usize,
        serial: u64,
        link: u64,
        endpoint: Endpoint,
        order: Order,
    ) {
        let reader = Reader { node, serial, link };
        let call = EngineCall {
            reader,
            address: endpoint.address,
            order,
        };
        let time = HOP + Span::from_millis(self.draw(3));
        self.after(time, Happening::Engine(call));
    }

    /// Returns a fresh connection number.
    pub(crate) fn new_link(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

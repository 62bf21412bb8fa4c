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

use crate::history::RequestId;
use crate::history::TryId;
use crate::world::Bug;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::callers::Response;
use crate::world::engine::EngineCall;
use crate::world::engine::Migration;
use crate::world::engine::Order;
use crate::world::engine::Reader;

/// One open call.
pub(crate) struct Flight {
    pub(super) try_id: TryId,
    pub(super) request: RequestId,
    pub(super) origin: Id,
    pub(super) killer: bool,
    /// Length of the whole answer in tokens; 0 for a plain call.
    pub(super) tokens: u64,
    pub(super) account_deployment: SmolStr,
    pub plain: bool,
    /// Whether the reducer knows that the caller has disconnected.
    pub caller_gone: bool,
    /// Number of the running plain attempt; 0 before the first.
    pub plain_attempt: u32,
    pub(super) sequencer: Sequencer,
    pub(super) running: Option<Running>,
    /// Identifies the connection whose replies are accepted; 0 for none.
    pub(super) connection: u64,
    pub(super) unreported: u32,
    pub(super) relayed: u64,
    pub(super) relay_limit: u64,
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
    pub(super) opening: Opening,
}

/// How the current stream was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Opening {
    Fresh,
    Resumed,
    Adopted,
}

impl Flight {
    /// Creates the task of a call that was received completely.
    pub fn new(
        try_id: TryId,
        request: RequestId,
        origin: Id,
        arrival: &Arrival,
        killer: bool,
        tokens: u64,
    ) -> Flight {
        Flight {
            try_id,
            request,
            origin,
            killer,
            tokens,
            account_deployment: arrival.deployment.clone(),
            plain: matches!(arrival.work, Work::Plain { .. }),
            caller_gone: false,
            plain_attempt: 0,
            sequencer: Sequencer::starting_at(arrival.offset),
            running: None,
            connection: 0,
            unreported: 0,
            relayed: 0,
            relay_limit: tokens.saturating_sub(arrival.offset),
            emitted: 0,
        }
    }

    /// Returns the try that this call serves.
    pub fn try_id(&self) -> TryId {
        self.try_id
    }

    /// Returns the request that this call serves.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns whether the call goes on after its caller has disconnected.
    pub fn outlives_caller(&self) -> bool {
        self.plain && (self.caller_gone || self.plain_attempt > 0)
    }
}

impl World {
    /// Carries out a reducer's command for a request.
    pub(crate) fn command_flight(&mut self, node: usize, serial: u64, command: Command) {
        let Some(flight) = self.nodes[node].flights.get(&serial) else {
            return;
        };
        let try_id = flight.try_id;
        if flight.plain {
            return self.command_plain(node, serial, command);
        }
        match command {
            Command::Refuse(refusal) => {
                self.cancel_stream(node, serial);
                self.nodes[node].flights.remove(&serial);
                self.send_to_caller(try_id, Response::Refused(refusal));
            }
            Command::Stop => self.cancel_stream(node, serial),
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
                    return self.send_to_caller(try_id, Response::Refused(refusal));
                }
                self.send_to_caller(try_id, Response::Redirect { address, token });
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
                let opening = Opening::Adopted;
                let running = Running {
                    attempt,
                    stream,
                    endpoint,
                    account,
                    base,
                    opening,
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
        let connection = self.new_connection();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        if flight.relayed >= flight.relay_limit {
            return self.finish_stream(node, serial, stream);
        }
        let base = flight.sequencer.next();
        flight.sequencer.begin_attempt(stream.attempt, base);
        flight.connection = connection;
        flight.running = Some(Running {
            attempt: stream.attempt,
            stream,
            endpoint: endpoint.clone(),
            account,
            base,
            opening: Opening::Fresh,
        });
        let order = Order::Start {
            stream,
            request: flight.request,
            try_id: flight.try_id,
            killer: flight.killer,
            base,
            end: flight.tokens,
        };
        self.call_engine(node, serial, connection, endpoint, order);
    }

    /// Finishes an answer that was cut between its last token and its end.
    fn finish_stream(&mut self, node: usize, serial: u64, stream: Stream) {
        let Some(flight) = self.nodes[node].flights.remove(&serial) else {
            return;
        };
        let report = Report::Ended {
            end: End::Finished,
            tokens: flight.unreported,
        };
        let attempt = stream.attempt;
        self.send_report(node, serial, attempt, report);
        self.send_to_caller(
            flight.try_id,
            Response::Done {
                owner: flight.request,
            },
        );
    }

    pub(super) fn attach(&mut self, node: usize, serial: u64, running: Running) {
        let connection = self.new_connection();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight
            .sequencer
            .begin_attempt(running.attempt, running.base);
        flight.connection = connection;
        let offset = flight.sequencer.next().saturating_sub(running.base);
        let (stream, endpoint) = (running.stream, running.endpoint.clone());
        flight.running = Some(running);
        self.call_engine(
            node,
            serial,
            connection,
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
        let connection = self.new_connection();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        let Some(old) = flight.running.clone() else {
            return;
        };
        let offset = flight.sequencer.next().saturating_sub(old.base);
        flight.sequencer.begin_attempt(stream.attempt, old.base);
        flight.connection = connection;
        flight.running = Some(Running {
            attempt: stream.attempt,
            stream,
            endpoint: endpoint.clone(),
            opening: Opening::Fresh,
            ..old.clone()
        });
        let try_id = flight.try_id;
        let migration = Migration {
            from: old.endpoint.clone(),
            old: old.stream,
            to: endpoint.clone(),
            new: stream,
            offset,
            try_id,
            transfer,
        };
        self.call_engine(
            node,
            serial,
            connection,
            old.endpoint,
            Order::Export(migration),
        );
    }

    /// Returns the signed token with which the caller can resume the running stream.
    pub(super) fn token(&mut self, node: usize, serial: u64) -> Option<SmolStr> {
        let flight = self.nodes[node].flights.get(&serial)?;
        let running = flight.running.as_ref()?;
        let token = Resume {
            request: flight.origin,
            account: running.account.clone(),
            deployment: flight.account_deployment.clone(),
            stream: running.stream,
            address: running.endpoint.address.clone(),
            incarnation: running.endpoint.incarnation.clone(),
            base: running.base,
        };
        Some(SmolStr::from(self.signers.resume.sign(&token)))
    }

    /// Cancels the engine's work on a call that nobody waits for.
    pub(super) fn cancel_stream(&mut self, node: usize, serial: u64) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.connection = 0;
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
        connection: u64,
        endpoint: Endpoint,
        order: Order,
    ) {
        let reader = Reader {
            node,
            serial,
            connection,
        };
        let call = EngineCall {
            reader,
            address: endpoint.address,
            order,
        };
        let time = NETWORK_DELAY + Span::from_millis(self.random_below(3));
        self.after(time, Occurrence::Engine(call));
    }

    /// Returns a fresh connection number.
    pub(crate) fn new_connection(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }
}

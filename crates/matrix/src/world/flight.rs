//! The task of one open model call: the daemon's, without its sockets.

use clock::Span;
use entry::arrival::Arrival;
use entry::arrival::Work;
use entry::attempt::Place;
use entry::attempt::Report;
use entry::effect::Command;
use entry::event::Event;
use policy::decision::Transfer;
use policy::job::End;
use request::id::Id;
use request::id::Stream;
use request::relay::Pass;
use request::relay::Relay;
use request::resume::Resume;
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
use crate::world::engine::Failure;
use crate::world::engine::Moving;
use crate::world::engine::Order;
use crate::world::engine::Reader;
use crate::world::engine::Word;

/// Tokens are reported so many at a time.
const REPORT_EACH: u32 = 8;

/// One open call.
pub(crate) struct Flight {
    number: Try,
    ask: Ask,
    origin: Id,
    killer: bool,
    /// Length of the whole answer; 0 for a plain call.
    tokens: u64,
    account_deployment: SmolStr,
    pub plain: bool,
    /// Whether the reducer was told that the caller is gone.
    pub left: bool,
    /// Number of the plain attempt that runs.
    pub plain_attempt: u32,
    relay: Relay,
    running: Option<Running>,
    /// Names the connection whose words count; 0 for none.
    link: u64,
    unreported: u32,
    passed: u64,
    most: u64,
    emitted: u64,
}

/// The attempt that runs.
#[derive(Clone)]
struct Running {
    attempt: u32,
    stream: Stream,
    place: Place,
    account: SmolStr,
    base: u64,
    how: Asked,
}

/// How the stream that is read now was asked for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Asked {
    Fresh,
    Again,
    Adopted,
}

impl Flight {
    /// A call that was read whole.
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
            relay: Relay::starting_at(arrival.offset),
            running: None,
            link: 0,
            unreported: 0,
            passed: 0,
            most: tokens.saturating_sub(arrival.offset),
            emitted: 0,
        }
    }

    /// Which sending it serves.
    pub fn number(&self) -> Try {
        self.number
    }

    /// Whose answer it is.
    pub fn ask(&self) -> Ask {
        self.ask
    }

    /// Whether it goes on when its caller is gone.
    pub fn outlives_caller(&self) -> bool {
        self.plain && (self.left || self.plain_attempt > 0)
    }
}

impl World {
    /// The task of a request gets a command of the reducer.
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
                place,
                account,
                ..
            } => self.start_stream(node, serial, stream, place, account),
            Command::Attach {
                attempt,
                stream,
                place,
                base,
                account,
            } => {
                let how = Asked::Adopted;
                let running = Running {
                    attempt,
                    stream,
                    place,
                    account,
                    base,
                    how,
                };
                self.attach(node, serial, running);
            }
            Command::Move { stream, place, how } => {
                self.move_stream(node, serial, stream, place, how);
            }
        }
    }

    fn flight(&mut self, node: usize, serial: u64) -> Option<&mut Flight> {
        self.nodes[node].flights.get_mut(&serial)
    }

    fn start_stream(
        &mut self,
        node: usize,
        serial: u64,
        stream: Stream,
        place: Place,
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
        flight.relay.begin(stream.attempt, base);
        flight.link = link;
        flight.running = Some(Running {
            attempt: stream.attempt,
            stream,
            place: place.clone(),
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
        self.call_engine(node, serial, link, place, order);
    }

    /// The answer was cut between its last token and its end.
    fn whole(&mut self, node: usize, serial: u64, stream: Stream) {
        let Some(flight) = self.nodes[node].flights.remove(&serial) else {
            return;
        };
        let report = Report::Ended {
            end: End::Finished,
            tokens: flight.unreported,
        };
        let attempt = stream.attempt;
        self.tell(
            node,
            Event::Attempt {
                serial,
                attempt,
                report,
            },
        );
        self.tell_caller(flight.number, CallerWord::Done { owner: flight.ask });
    }

    fn attach(&mut self, node: usize, serial: u64, running: Running) {
        let link = self.new_link();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.relay.begin(running.attempt, running.base);
        flight.link = link;
        let offset = flight.relay.next().saturating_sub(running.base);
        let (stream, place) = (running.stream, running.place.clone());
        flight.running = Some(running);
        self.call_engine(node, serial, link, place, Order::Resume { stream, offset });
    }

    fn move_stream(
        &mut self,
        node: usize,
        serial: u64,
        stream: Stream,
        place: Place,
        how: Transfer,
    ) {
        let link = self.new_link();
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        let Some(old) = flight.running.clone() else {
            return;
        };
        let offset = flight.relay.next().saturating_sub(old.base);
        flight.relay.begin(stream.attempt, old.base);
        flight.link = link;
        flight.running = Some(Running {
            attempt: stream.attempt,
            stream,
            place: place.clone(),
            how: Asked::Fresh,
            ..old.clone()
        });
        let number = flight.number;
        let moving = Moving {
            from: old.place.clone(),
            old: old.stream,
            to: place.clone(),
            new: stream,
            offset,
            number,
            how,
        };
        self.call_engine(node, serial, link, old.place, Order::Export(moving));
    }

    /// A word of an engine; words of connections that were given up are dropped.
    pub(crate) fn flight_hears(&mut self, node: usize, serial: u64, link: u64, word: Word) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        if flight.plain {
            return self.plain_hears(node, serial, link, word);
        }
        if flight.link != link {
            return;
        }
        match word {
            Word::Opened(moved) => self.opened(node, serial, moved),
            Word::NotOpened { failure, moved } => self.not_opened(node, serial, failure, moved),
            Word::Token { offset, ask, index } => {
                self.token_came(node, serial, offset, ask, index);
            }
            Word::Done { ask } => {
                self.report_end(node, serial, End::Finished);
                if let Some(flight) = self.nodes[node].flights.remove(&serial) {
                    self.tell_caller(flight.number, CallerWord::Done { owner: ask });
                }
            }
            Word::Broken => self.broken(node, serial, End::Crashed),
            Word::PlainDone { .. } => {}
        }
    }

    fn opened(&mut self, node: usize, serial: u64, moved: Option<Transfer>) {
        let token = self.token(node, serial);
        if let Some(flight) = self.flight(node, serial) {
            let number = flight.number;
            self.tell_caller(number, CallerWord::Head { token });
        }
        match moved {
            Some(how) => self.report(node, serial, Report::Moved { how, recomputed: 0 }),
            None => self.report(node, serial, Report::Head),
        }
    }

    fn not_opened(&mut self, node: usize, serial: u64, failure: Failure, moved: bool) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.link = 0;
        let Some(running) = flight.running.clone() else {
            return;
        };
        if moved {
            let recomputed = flight.passed as u32;
            let how = Transfer::Rerun;
            self.report(node, serial, Report::Moved { how, recomputed });
            let Running {
                stream,
                place,
                account,
                ..
            } = running;
            return self.start_stream(node, serial, stream, place, account);
        }
        match (running.how, failure) {
            (Asked::Adopted, _) => self.report(node, serial, Report::AttachFailed),
            (Asked::Again, Failure::NotSent | Failure::Broken) => {
                self.report_end(node, serial, End::Crashed);
            }
            (Asked::Again, _) => self.report_end(node, serial, End::Failed),
            (Asked::Fresh, Failure::NotSent | Failure::NotStarted) => {
                self.report_end(node, serial, End::NotStarted);
            }
            (Asked::Fresh, Failure::Broken) => self.report_end(node, serial, End::Crashed),
            (Asked::Fresh, Failure::Answered) => self.report_end(node, serial, End::Failed),
        }
    }

    /// The stream broke: the same engine is asked for it again once.
    fn broken(&mut self, node: usize, serial: u64, end: End) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.link = 0;
        let Some(mut running) = flight.running.clone() else {
            return;
        };
        match running.how {
            Asked::Adopted => self.report(node, serial, Report::AttachFailed),
            Asked::Again => self.report_end(node, serial, end),
            Asked::Fresh => {
                running.how = Asked::Again;
                self.attach(node, serial, running);
            }
        }
    }

    fn token_came(&mut self, node: usize, serial: u64, engine: u64, owner: Ask, index: u64) {
        let twice = self.bug == Bug::DoubleChunk;
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        let Some(running) = &mut flight.running else {
            return;
        };
        let offset = flight.relay.next();
        match flight.relay.chunk(running.attempt, engine) {
            Pass::Drop => {}
            Pass::Gap => self.broken(node, serial, End::Crashed),
            Pass::Emit => {
                running.how = Asked::Fresh;
                flight.unreported += 1;
                flight.passed += 1;
                flight.emitted += 1;
                let (number, tenth) = (flight.number, flight.emitted % 10 == 0);
                let word = CallerWord::Chunk {
                    offset,
                    owner,
                    index,
                };
                if twice && tenth {
                    self.tell_caller(number, word.clone());
                }
                self.tell_caller(number, word);
                self.report_tokens(node, serial, REPORT_EACH);
            }
        }
    }

    /// Reports counts now and then.
    fn report_tokens(&mut self, node: usize, serial: u64, least: u32) {
        if let Some(flight) = self.flight(node, serial)
            && flight.unreported >= least
        {
            let tokens = std::mem::take(&mut flight.unreported);
            let worst_gap = Span::ZERO;
            self.report(node, serial, Report::Tokens { tokens, worst_gap });
        }
    }

    fn report_end(&mut self, node: usize, serial: u64, end: End) {
        self.report_tokens(node, serial, 1);
        self.report(node, serial, Report::Ended { end, tokens: 0 });
    }

    fn report(&mut self, node: usize, serial: u64, report: Report) {
        let running = self
            .flight(node, serial)
            .and_then(|flight| flight.running.as_ref());
        let attempt = running.map_or(0, |running| running.attempt);
        self.tell(
            node,
            Event::Attempt {
                serial,
                attempt,
                report,
            },
        );
    }

    /// The sealed word with which the caller can come back to the running stream.
    fn token(&mut self, node: usize, serial: u64) -> Option<SmolStr> {
        let flight = self.nodes[node].flights.get(&serial)?;
        let running = flight.running.as_ref()?;
        let word = Resume {
            request: flight.origin,
            account: running.account.clone(),
            deployment: flight.account_deployment.clone(),
            stream: running.stream,
            address: running.place.address.clone(),
            incarnation: running.place.incarnation.clone(),
            base: running.base,
        };
        Some(SmolStr::from(self.seals.resume.close(&word)))
    }

    /// Stops the engine's work on a call that nobody waits for.
    fn give_up_stream(&mut self, node: usize, serial: u64) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.link = 0;
        if let Some(running) = flight.running.take() {
            let stream = running.stream;
            self.call_engine(node, serial, 0, running.place, Order::Cancel { stream });
        }
    }

    /// Sends an order to an engine; it lands though the sender stops meanwhile.
    fn call_engine(&mut self, node: usize, serial: u64, link: u64, place: Place, order: Order) {
        let reader = Reader { node, serial, link };
        let call = EngineCall {
            reader,
            address: place.address,
            order,
        };
        let time = HOP + Span::from_millis(self.draw(3));
        self.after(time, Happening::Engine(call));
    }

    /// Names a new connection.
    pub(crate) fn new_link(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

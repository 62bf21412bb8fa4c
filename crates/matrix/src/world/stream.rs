//! Handles the replies of engines in the task of a model call.

use clock::Span;
use entry::attempt::Report;
use policy::decision::Transfer;
use policy::job::End;
use request::sequencer::Decision;

use crate::history::RequestId;
use crate::world::Bug;
use crate::world::World;
use crate::world::callers::Response;
use crate::world::engine::Failure;
use crate::world::engine::Reply;
use crate::world::flight::Opening;
use crate::world::flight::Running;

/// Number of tokens in one report to the reducer.
const TOKENS_PER_REPORT: u32 = 8;

impl World {
    /// Handles a reply of an engine; replies on closed connections are dropped.
    pub(crate) fn flight_receives(
        &mut self,
        node: usize,
        serial: u64,
        connection: u64,
        reply: Reply,
    ) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        if flight.plain {
            return self.plain_receives(node, serial, connection, reply);
        }
        if flight.connection != connection {
            return;
        }
        match reply {
            Reply::Opened(moved) => self.handle_opened(node, serial, moved),
            Reply::NotOpened { failure, moved } => {
                self.handle_not_opened(node, serial, failure, moved)
            }
            Reply::Token {
                offset,
                request,
                index,
            } => {
                self.receive_token(node, serial, offset, request, index);
            }
            Reply::Done { request } => {
                self.report_end(node, serial, End::Finished);
                if let Some(flight) = self.nodes[node].flights.remove(&serial) {
                    self.send_to_caller(flight.try_id, Response::Done { owner: request });
                }
            }
            Reply::Broken => self.handle_broken(node, serial, End::Crashed),
            Reply::PlainDone { .. } => {}
        }
    }

    fn handle_opened(&mut self, node: usize, serial: u64, moved: Option<Transfer>) {
        let token = self.token(node, serial);
        if let Some(flight) = self.flight(node, serial) {
            let try_id = flight.try_id;
            self.send_to_caller(try_id, Response::Head { token });
        }
        match moved {
            Some(transfer) => self.report(
                node,
                serial,
                Report::Moved {
                    transfer,
                    recomputed: 0,
                },
            ),
            None => self.report(node, serial, Report::Head),
        }
    }

    fn handle_not_opened(&mut self, node: usize, serial: u64, failure: Failure, moved: bool) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.connection = 0;
        let Some(running) = flight.running.clone() else {
            return;
        };
        if moved {
            let recomputed = flight.relayed as u32;
            let transfer = Transfer::Rerun;
            self.report(
                node,
                serial,
                Report::Moved {
                    transfer,
                    recomputed,
                },
            );
            let Running {
                stream,
                endpoint,
                account,
                ..
            } = running;
            return self.start_stream(node, serial, stream, endpoint, account);
        }
        match (running.opening, failure) {
            (Opening::Adopted, _) => self.report(node, serial, Report::AttachFailed),
            (Opening::Resumed, Failure::NotSent | Failure::Broken) => {
                self.report_end(node, serial, End::Crashed);
            }
            (Opening::Resumed, _) => self.report_end(node, serial, End::Failed),
            (Opening::Fresh, Failure::NotSent | Failure::NotStarted) => {
                self.report_end(node, serial, End::NotStarted);
            }
            (Opening::Fresh, Failure::Broken) => self.report_end(node, serial, End::Crashed),
            (Opening::Fresh, Failure::Answered) => self.report_end(node, serial, End::Failed),
        }
    }

    /// Handles a broken stream: the same engine is asked to resume it, but only once.
    fn handle_broken(&mut self, node: usize, serial: u64, end: End) {
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        flight.connection = 0;
        let Some(mut running) = flight.running.clone() else {
            return;
        };
        match running.opening {
            Opening::Adopted => self.report(node, serial, Report::AttachFailed),
            Opening::Resumed => self.report_end(node, serial, end),
            Opening::Fresh => {
                running.opening = Opening::Resumed;
                self.attach(node, serial, running);
            }
        }
    }

    fn receive_token(
        &mut self,
        node: usize,
        serial: u64,
        engine: u64,
        owner: RequestId,
        index: u64,
    ) {
        let twice = self.bug == Bug::DoubleChunk;
        let Some(flight) = self.flight(node, serial) else {
            return;
        };
        let Some(running) = &mut flight.running else {
            return;
        };
        let offset = flight.sequencer.next();
        match flight.sequencer.accept(running.attempt, engine) {
            Decision::Drop => {}
            Decision::Gap => self.handle_broken(node, serial, End::Crashed),
            Decision::Emit => {
                running.opening = Opening::Fresh;
                flight.unreported += 1;
                flight.relayed += 1;
                flight.emitted += 1;
                let (try_id, tenth) = (flight.try_id, flight.emitted % 10 == 0);
                let response = Response::Chunk {
                    offset,
                    owner,
                    index,
                };
                if twice && tenth {
                    self.send_to_caller(try_id, response.clone());
                }
                self.send_to_caller(try_id, response);
                self.report_tokens(node, serial, TOKENS_PER_REPORT);
            }
        }
    }

    /// Reports the token count to the reducer if at least `least` are unreported.
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
        self.send_report(node, serial, attempt, report);
    }
}

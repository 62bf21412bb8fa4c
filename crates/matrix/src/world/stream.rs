//! Handles the replies of engines in the task of a model call.

use clock::Span;
use entry::attempt::Report;
use policy::decision::Transfer;
use policy::job::End;
use request::sequencer::Decision;

use crate::history::Ask;
use crate::world::Bug;
use crate::world::World;
use crate::world::callers::CallerWord;
use crate::world::engine::Failure;
use crate::world::engine::Word;
use crate::world::flight::Asked;
use crate::world::flight::Running;

/// Number of tokens in one report to the reducer.
const REPORT_EACH: u32 = 8;

impl World {
    /// Handles a reply of an engine; replies on closed connections are dropped.
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

    /// Handles a broken stream: the same engine is asked to resume it, but only once.
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
        match flight.relay.accept(running.attempt, engine) {
            Decision::Drop => {}
            Decision::Gap => self.broken(node, serial, End::Crashed),
            Decision::Emit => {
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
        self.tell_attempt(node, serial, attempt, report);
    }
}

//! Task of one open plain call, as in the daemon but without sockets.

use entry::attempt::Report;
use entry::effect::Command;
use policy::job::End;

use crate::world::Bug;
use crate::world::HOP;
use crate::world::Happening;
use crate::world::World;
use crate::world::callers::CallerWord;
use crate::world::engine::Failure;
use crate::world::engine::Reader;
use crate::world::engine::Word;
use crate::world::service::ServiceCall;

impl World {
    /// Carries out a reducer's command for a plain call.
    pub(crate) fn plain_commanded(&mut self, node: usize, serial: u64, command: Command) {
        match command {
            Command::Refuse(refusal) => {
                if let Some(flight) = self.nodes[node].flights.remove(&serial) {
                    self.tell_caller(flight.number(), CallerWord::Refused(refusal));
                }
            }
            Command::HandOff { .. } | Command::Drop => {
                self.nodes[node].flights.remove(&serial);
            }
            Command::Start {
                stream, endpoint, ..
            } => {
                let link = u64::from(stream.attempt);
                let Some(flight) = self.nodes[node].flights.get_mut(&serial) else {
                    return;
                };
                flight.plain_attempt = stream.attempt;
                let (ask, number) = (flight.ask(), flight.number());
                let reader = Reader { node, serial, link };
                let call = ServiceCall {
                    reader,
                    address: endpoint.address,
                    ask,
                    number,
                };
                self.after(HOP, Happening::Service(call));
            }
            Command::Attach { .. } | Command::Move { .. } | Command::Stop => {}
        }
    }

    /// Handles the reply to a plain attempt.
    pub(crate) fn plain_hears(&mut self, node: usize, serial: u64, link: u64, word: Word) {
        let Some(flight) = self.nodes[node].flights.get(&serial) else {
            return;
        };
        let attempt = flight.plain_attempt;
        if u64::from(attempt) != link {
            return;
        }
        let number = flight.number();
        let end = match word {
            Word::PlainDone { ask } => {
                self.nodes[node].flights.remove(&serial);
                self.tell_attempt(node, serial, attempt, Report::Head);
                let (end, tokens) = (End::Finished, 0);
                self.tell_attempt(node, serial, attempt, Report::Ended { end, tokens });
                return self.tell_caller(number, CallerWord::Done { owner: ask });
            }
            Word::NotOpened {
                failure: Failure::NotSent | Failure::NotStarted,
                ..
            } => End::NotStarted,
            Word::NotOpened {
                failure: Failure::Answered,
                ..
            } => End::Failed,
            _ if self.bug == Bug::CallLostNotStarted => End::NotStarted,
            _ => End::Crashed,
        };
        self.tell_attempt(node, serial, attempt, Report::Ended { end, tokens: 0 });
    }
}

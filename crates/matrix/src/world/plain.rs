//! Task of one open plain call, as in the daemon but without sockets.

use entry::attempt::Report;
use entry::effect::Command;
use policy::job::End;

use crate::world::Bug;
use crate::world::NETWORK_DELAY;
use crate::world::Occurrence;
use crate::world::World;
use crate::world::callers::Response;
use crate::world::engine::Failure;
use crate::world::engine::Reader;
use crate::world::engine::Reply;
use crate::world::service::ServiceCall;

impl World {
    /// Carries out a reducer's command for a plain call.
    pub(crate) fn command_plain(&mut self, node: usize, serial: u64, command: Command) {
        match command {
            Command::Refuse(refusal) => {
                if let Some(flight) = self.nodes[node].flights.remove(&serial) {
                    self.send_to_caller(flight.try_id(), Response::Refused(refusal));
                }
            }
            Command::HandOff { .. } | Command::Drop => {
                self.nodes[node].flights.remove(&serial);
            }
            Command::Start {
                stream, endpoint, ..
            } => {
                let connection = u64::from(stream.attempt);
                let Some(flight) = self.nodes[node].flights.get_mut(&serial) else {
                    return;
                };
                flight.plain_attempt = stream.attempt;
                let (request, try_id) = (flight.request(), flight.try_id());
                let reader = Reader {
                    node,
                    serial,
                    connection,
                };
                let call = ServiceCall {
                    reader,
                    address: endpoint.address,
                    request,
                    try_id,
                };
                self.after(NETWORK_DELAY, Occurrence::Service(call));
            }
            Command::Attach { .. } | Command::Move { .. } | Command::Stop => {}
        }
    }

    /// Handles the reply to a plain attempt.
    pub(crate) fn plain_receives(
        &mut self,
        node: usize,
        serial: u64,
        connection: u64,
        reply: Reply,
    ) {
        let Some(flight) = self.nodes[node].flights.get(&serial) else {
            return;
        };
        let attempt = flight.plain_attempt;
        if u64::from(attempt) != connection {
            return;
        }
        let try_id = flight.try_id();
        let end = match reply {
            Reply::PlainDone { request } => {
                self.nodes[node].flights.remove(&serial);
                self.send_report(node, serial, attempt, Report::Head);
                let (end, tokens) = (End::Finished, 0);
                self.send_report(node, serial, attempt, Report::Ended { end, tokens });
                return self.send_to_caller(try_id, Response::Done { owner: request });
            }
            Reply::NotOpened {
                failure: Failure::NotSent | Failure::NotStarted,
                ..
            } => End::NotStarted,
            Reply::NotOpened {
                failure: Failure::Answered,
                ..
            } => End::Failed,
            _ if self.bug == Bug::CallLostNotStarted => End::NotStarted,
            _ => End::Crashed,
        };
        self.send_report(node, serial, attempt, Report::Ended { end, tokens: 0 });
    }
}

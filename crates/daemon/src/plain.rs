//! The task of one open call of a plain service.

use std::rc::Rc;

use back::plain;
use entry::attempt::Report;
use entry::effect::Command;
use entry::event::Event;
use front::call::Plain;
use front::response;
use front::response::Payload;
use http::Response;
use policy::job::End;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::ends::end_of;
use crate::flight::Shared;
use crate::link::Message;

/// One open plain call.
pub struct PlainFlight {
    shared: Rc<Shared>,
    serial: u64,
    request: String,
    call: plain::Call,
    commands: mpsc::UnboundedReceiver<Command>,
    head: oneshot::Sender<Response<Payload>>,
}

impl PlainFlight {
    /// A call that the reducer is told of by now.
    pub fn new(
        shared: Rc<Shared>,
        serial: u64,
        request: String,
        call: Plain,
        commands: mpsc::UnboundedReceiver<Command>,
        head: oneshot::Sender<Response<Payload>>,
    ) -> PlainFlight {
        PlainFlight {
            shared,
            serial,
            request,
            call: plain::Call {
                method: call.method,
                path: call.path,
                headers: call.headers,
                body: call.body,
            },
            commands,
            head,
        }
    }

    /// Serves the call to its end.
    ///
    /// A caller that goes away doesn't stop a call that was handed on: its outcome is still wanted. The
    /// task then stays until the reducer, which may just have handed the call on, has dropped it; were
    /// it to end at once, such a call would stay open with nobody to report its end.
    pub async fn run(mut self) {
        let mut gone = false;
        let response = loop {
            let command = tokio::select! {
                biased;
                command = self.commands.recv() => command,
                () = self.head.closed(), if !gone => {
                    gone = true;
                    self.shared.link.event(Event::CallerDisconnected { serial: self.serial });
                    continue;
                }
            };
            match command {
                None | Some(Command::HandOff { .. } | Command::Drop) => break None,
                Some(Command::Refuse(refusal)) => {
                    break Some(response::refusal(&self.request, &refusal));
                }
                Some(Command::Start {
                    stream, endpoint, ..
                }) => {
                    let attempt = stream.attempt;
                    let called =
                        plain::call(&self.shared.client, &endpoint.address, self.call.clone())
                            .await;
                    match called {
                        Ok(whole) => {
                            self.report(attempt, Report::Head);
                            self.report_end(attempt, End::Finished);
                            break Some(response::completed(&self.request, response_of(whole)));
                        }
                        Err(failure) => self.report_end(attempt, end_of(&failure)),
                    }
                }
                Some(Command::Attach { .. } | Command::Move { .. } | Command::Stop) => {}
            }
        };
        if let Some(response) = response {
            let _ = self.head.send(response);
        }
        let serial = self.serial;
        self.shared.link.send(Message::Closed { serial });
    }

    /// Reports the end of an attempt.
    fn report_end(&self, attempt: u32, end: End) {
        self.report(attempt, Report::Ended { end, tokens: 0 });
    }

    /// Reports on an attempt.
    fn report(&self, attempt: u32, report: Report) {
        self.shared.link.event(Event::Attempt {
            serial: self.serial,
            attempt,
            report,
        });
    }
}

/// The service's answer as it is given to the caller.
fn response_of(whole: plain::Response) -> Response<Payload> {
    let mut response = Response::new(response::full_body(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    response
}

//! Task of one open call of a plain service.

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

use crate::attempt_end::end_of;
use crate::callers::ended_refusal;
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
    /// Creates the task of a call already announced to the reducer.
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

    /// Serves the call until it ends.
    ///
    /// A disconnected caller doesn't stop a dispatched call: its outcome is still needed. The task
    /// waits until the reducer drops it, because the reducer may just have dispatched the call;
    /// otherwise such a call would stay open with no task to report its end.
    pub async fn run(mut self) {
        let mut caller_gone = false;
        let mut may_have_run = false;
        let response = loop {
            let command = tokio::select! {
                biased;
                command = self.commands.recv() => command,
                () = self.head.closed(), if !caller_gone => {
                    caller_gone = true;
                    self.shared.link.send_event(Event::CallerDisconnected { serial: self.serial });
                    continue;
                }
            };
            match command {
                None => {
                    break Some(response::refusal(
                        &self.request,
                        &ended_refusal(may_have_run),
                    ));
                }
                Some(Command::HandOff { .. } | Command::Drop) => break None,
                Some(Command::Refuse(refusal)) => {
                    break Some(response::refusal(&self.request, &refusal));
                }
                Some(Command::Start {
                    stream, endpoint, ..
                }) => {
                    may_have_run = true;
                    let attempt = stream.attempt;
                    let called = plain::call(
                        &self.shared.client,
                        &endpoint.address,
                        self.call.clone(),
                        &self.shared.answers,
                    )
                    .await;
                    match called {
                        Ok(served) => {
                            self.report(attempt, Report::Head);
                            self.report_end(attempt, End::Finished);
                            break Some(response::completed(&self.request, response_of(served)));
                        }
                        Err(failure) => {
                            if let Some(pause) = failure.pause() {
                                self.report(attempt, Report::PauseRequested { pause });
                            }
                            self.report_end(attempt, end_of(&failure));
                        }
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

    /// Sends a report on an attempt.
    fn report(&self, attempt: u32, report: Report) {
        self.shared.link.send_event(Event::Attempt {
            serial: self.serial,
            attempt,
            report,
        });
    }
}

/// Converts the service's answer for the caller.
fn response_of(served: plain::Response) -> Response<Payload> {
    let mut response = Response::new(response::full_body(served.body));
    *response.status_mut() = served.status;
    *response.headers_mut() = served.headers;
    response
}

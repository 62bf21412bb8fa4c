//! Task of one open model call: starts, resumes and moves its engine stream and relays it.
//!
//! `opening` opens engine streams, `engine_events` handles their events.

mod engine_events;
mod opening;

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use back::engine::Engine;
use back::events::Chunk;
use back::events::Events;
use back::failure::Failure;
use back::http_client::HttpClient;
use clock::Span;
use entry::attempt::Endpoint;
use entry::attempt::Report;
use entry::effect::Command;
use entry::event::Event;
use front::chat::Chat;
use intake::answers::Answers;
use policy::decision::Transfer;
use policy::job::End;
use request::id::Id;
use request::id::Stream;
use request::resume::Resume;
use request::sequencer::Sequencer;
use request::signer::Signer;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::callers::ended_refusal;
use crate::link::Link;
use crate::link::Message;
use crate::output::Output;

/// Interval at which forwarded tokens are reported; the reducer needs counts, not chunks.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// State shared by the tasks of all requests.
pub struct Shared {
    /// Channel to the event loop.
    pub link: Rc<Link>,
    /// HTTP client for backend servers.
    pub client: HttpClient,
    /// Room for answers that callers have yet to read.
    pub answers: Answers,
    /// Signs resume tokens.
    pub signer: Signer,
}

/// One open model call.
pub struct Flight {
    shared: Rc<Shared>,
    serial: u64,
    origin: Id,
    chat: Chat,
    commands: mpsc::UnboundedReceiver<Command>,
    output: Output,
    sequencer: Sequencer,
    phase: Phase,
    running: Option<Attempt>,
    /// Whether an attempt was begun, or adopted from another entry.
    may_have_run: bool,
    /// Tokens forwarded since the last report.
    unreported: u32,
    /// Longest gap between two tokens since the last report.
    worst_gap: Span,
    /// When the last token was forwarded.
    last_token: Option<Instant>,
    /// Tokens forwarded by this task.
    forwarded: u64,
}

/// The running attempt.
#[derive(Clone)]
struct Attempt {
    /// Number of the attempt at this entry.
    attempt: u32,
    /// The engine's identifier of the stream.
    stream: Stream,
    endpoint: Endpoint,
    account: SmolStr,
    /// Offset of the stream's first token in the caller's answer.
    base: u64,
    source: Source,
}

/// How the current stream was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// Started or moved by this task, or has delivered a token since it was reopened.
    Fresh,
    /// Reopened after it broke; no token received since.
    Retried,
    /// Taken over from another entry; no token received since.
    Adopted,
}

/// What the task awaits from the engine.
enum Phase {
    /// No stream is open.
    Idle,
    /// A stream is being opened.
    Opening(Pin<Box<dyn Future<Output = Opened>>>),
    /// The stream is being read.
    Reading(Events),
}

/// Result of opening a stream.
struct Opened {
    events: Result<Events, Failure>,
    /// How the stream was moved; `None` if it was started or resumed.
    moved: Option<Transfer>,
}

/// Whether the task continues.
#[derive(PartialEq, Eq)]
enum Flow {
    Continue,
    Break,
}

impl Flight {
    /// Creates the task of a call already announced to the reducer. `next` is the first offset that
    /// the caller wants.
    pub fn new(
        shared: Rc<Shared>,
        origin: Id,
        chat: Chat,
        next: u64,
        commands: mpsc::UnboundedReceiver<Command>,
        output: Output,
    ) -> Flight {
        Flight {
            serial: origin.serial,
            origin,
            shared,
            chat,
            commands,
            output,
            sequencer: Sequencer::starting_at(next),
            phase: Phase::Idle,
            running: None,
            may_have_run: false,
            unreported: 0,
            worst_gap: Span::ZERO,
            last_token: None,
            forwarded: 0,
        }
    }

    /// Serves the call until it ends.
    pub async fn run(mut self) {
        let mut report = tokio::time::interval(REPORT_INTERVAL);
        report.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let flow = tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(command) => self.execute(command).await,
                    None => {
                        self.output.refuse(&ended_refusal(self.may_have_run)).await;
                        Flow::Break
                    }
                },
                () = self.output.closed() => {
                    self.shared.link.send_event(Event::CallerDisconnected { serial: self.serial });
                    Flow::Break
                }
                event = self.phase.next() => self.handle_event(event).await,
                _ = report.tick() => {
                    self.report_tokens();
                    Flow::Continue
                }
            };
            if flow == Flow::Break {
                break;
            }
        }
        let serial = self.serial;
        self.shared.link.send(Message::Closed { serial });
    }

    /// Executes a command of the reducer.
    async fn execute(&mut self, command: Command) -> Flow {
        match command {
            Command::Refuse(refusal) => {
                self.cancel_stream();
                self.output.refuse(&refusal).await;
                return Flow::Break;
            }
            Command::Drop => return Flow::Break,
            Command::Stop => {
                self.cancel_stream();
                self.phase = Phase::Idle;
            }
            Command::HandOff { address } => {
                let token = self.resume_token();
                self.output.hand_off(&address, &token).await;
                return Flow::Break;
            }
            Command::Start {
                stream,
                endpoint,
                priority,
                account,
            } => {
                if self.forwarded >= u64::from(self.chat.max_new_tokens) {
                    return self.finish_complete(stream).await;
                }
                self.may_have_run = true;
                self.start(stream, endpoint, priority, account);
            }
            Command::Attach {
                attempt,
                stream,
                endpoint,
                base,
                account,
            } => {
                self.may_have_run = true;
                self.attach(Attempt {
                    attempt,
                    stream,
                    endpoint,
                    account,
                    base,
                    source: Source::Adopted,
                });
            }
            Command::Move {
                stream,
                endpoint,
                transfer,
            } => self.move_to(stream, endpoint, transfer),
        }
        Flow::Continue
    }

    /// Finishes an answer that broke off after its last token but before its end; nothing is left to compute.
    async fn finish_complete(&mut self, stream: Stream) -> Flow {
        self.shared.link.send_event(Event::Attempt {
            serial: self.serial,
            attempt: stream.attempt,
            report: Report::Ended {
                end: End::Finished,
                tokens: std::mem::take(&mut self.unreported),
            },
        });
        self.output.finish().await;
        Flow::Break
    }

    /// Returns the signed token with which the caller can resume the running stream.
    fn resume_token(&self) -> String {
        let Some(running) = &self.running else {
            return String::new();
        };
        self.shared.signer.sign(&Resume {
            request: self.origin,
            account: running.account.clone(),
            deployment: self.chat.deployment.clone(),
            stream: running.stream,
            address: running.endpoint.address.clone(),
            incarnation: running.endpoint.incarnation.clone(),
            base: running.base,
        })
    }

    /// Cancels the engine's work on a call whose answer is no longer needed.
    fn cancel_stream(&mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        let client = self.shared.client.clone();
        tokio::task::spawn_local(async move {
            let engine = Engine::new(&client, &running.endpoint.address);
            let _ = engine.cancel(running.stream).await;
        });
    }

    /// Reports the tokens forwarded since the last report.
    fn report_tokens(&mut self) {
        if self.unreported > 0 {
            let tokens = std::mem::take(&mut self.unreported);
            let worst_gap = std::mem::take(&mut self.worst_gap);
            self.report(Report::Tokens { tokens, worst_gap });
        }
    }

    /// Reports the end of the running attempt.
    fn report_end(&mut self, end: End) {
        self.report_tokens();
        self.report(Report::Ended { end, tokens: 0 });
    }

    /// Sends a report on the running attempt.
    fn report(&self, report: Report) {
        let attempt = self.running.as_ref().map_or(0, |running| running.attempt);
        self.shared.link.send_event(Event::Attempt {
            serial: self.serial,
            attempt,
            report,
        });
    }
}

/// Event of an engine's stream.
enum EngineEvent {
    Opened(Opened),
    Chunk(Result<Chunk, Failure>),
}

impl Phase {
    /// Awaits the next event of the stream; pending forever if none is open.
    async fn next(&mut self) -> EngineEvent {
        match self {
            Phase::Idle => std::future::pending().await,
            Phase::Opening(opening) => EngineEvent::Opened(opening.await),
            Phase::Reading(events) => EngineEvent::Chunk(events.next().await),
        }
    }
}

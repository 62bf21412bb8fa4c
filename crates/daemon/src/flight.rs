//! The task of one open model call: starts, resumes and moves its engine stream and relays it.
//!
//! `opening` asks engines for streams, `engine_events` takes what they say.

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
use policy::decision::Transfer;
use policy::job::End;
use request::id::Id;
use request::id::Stream;
use request::resume::Resume;
use request::sequencer::Sequencer;
use request::signer::Signer;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::link::Link;
use crate::link::Message;
use crate::output::Output;

/// How often tokens passed on are reported: the reducer needs counts, not chunks.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// What tasks of requests share.
pub struct Shared {
    /// The way to the loop.
    pub link: Rc<Link>,
    /// The way to backend servers.
    pub client: HttpClient,
    /// Seals resume words.
    pub seal: Signer,
}

/// One open model call.
pub struct Flight {
    shared: Rc<Shared>,
    serial: u64,
    origin: Id,
    chat: Chat,
    commands: mpsc::UnboundedReceiver<Command>,
    output: Output,
    relay: Sequencer,
    phase: Phase,
    running: Option<Attempt>,
    /// Tokens passed on since the last report.
    unreported: u32,
    /// Longest time between two tokens since the last report.
    worst_gap: Span,
    /// When the last token was passed on.
    last_token: Option<Instant>,
    /// Tokens passed on by this task.
    forwarded: u64,
}

/// The attempt that runs.
#[derive(Clone)]
struct Attempt {
    /// Number of the attempt here.
    attempt: u32,
    /// The engine's stream.
    stream: Stream,
    endpoint: Endpoint,
    account: SmolStr,
    /// The caller's offset of that stream's first token.
    base: u64,
    source: Source,
}

/// How the stream that is read now was asked for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// Started or moved by this task, or read from since.
    Fresh,
    /// Source for again after a cut, and nothing came since.
    Retried,
    /// Taken over from another entry, and nothing came since.
    Adopted,
}

/// What the task waits for from the engine.
enum Phase {
    /// Nothing.
    Idle,
    /// A stream to begin.
    Opening(Pin<Box<dyn Future<Output = Opened>>>),
    /// The next chunk.
    Reading(Events),
}

/// How opening a stream ended.
struct Opened {
    events: Result<Events, Failure>,
    /// Set when the stream was moved.
    moved: Option<Transfer>,
}

/// Whether the task goes on.
#[derive(PartialEq, Eq)]
enum Flow {
    Continue,
    Break,
}

impl Flight {
    /// A call that the reducer is told of by now. `next` is the offset that the caller wants first.
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
            relay: Sequencer::starting_at(next),
            phase: Phase::Idle,
            running: None,
            unreported: 0,
            worst_gap: Span::ZERO,
            last_token: None,
            forwarded: 0,
        }
    }

    /// Serves the call to its end.
    pub async fn run(mut self) {
        let mut report = tokio::time::interval(REPORT_INTERVAL);
        report.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let flow = tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(command) => self.execute(command).await,
                    None => Flow::Break,
                },
                () = self.output.closed() => {
                    self.shared.link.event(Event::CallerDisconnected { serial: self.serial });
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

    /// Does what the reducer wants.
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
                self.start(stream, endpoint, priority, account);
            }
            Command::Attach {
                attempt,
                stream,
                endpoint,
                base,
                account,
            } => self.attach(Attempt {
                attempt,
                stream,
                endpoint,
                account,
                base,
                source: Source::Adopted,
            }),
            Command::Move {
                stream,
                endpoint,
                transfer,
            } => self.move_to(stream, endpoint, transfer),
        }
        Flow::Continue
    }

    /// The answer was cut between its last token and its end: nothing is left to be computed.
    async fn finish_complete(&mut self, stream: Stream) -> Flow {
        self.shared.link.event(Event::Attempt {
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

    /// The sealed word with which the caller can come back to the running stream.
    fn resume_token(&self) -> String {
        let Some(running) = &self.running else {
            return String::new();
        };
        self.shared.seal.sign(&Resume {
            request: self.origin,
            account: running.account.clone(),
            deployment: self.chat.deployment.clone(),
            stream: running.stream,
            address: running.endpoint.address.clone(),
            incarnation: running.endpoint.incarnation.clone(),
            base: running.base,
        })
    }

    /// Stops the engine's work on a call that nobody waits for.
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

    /// Reports the tokens passed on since the last report.
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

    /// Reports on the running attempt.
    fn report(&self, report: Report) {
        let attempt = self.running.as_ref().map_or(0, |running| running.attempt);
        self.shared.link.event(Event::Attempt {
            serial: self.serial,
            attempt,
            report,
        });
    }
}

/// What the engine said.
enum EngineEvent {
    Opened(Opened),
    Chunk(Result<Chunk, Failure>),
}

impl Phase {
    /// Waits for the engine's next word; for ever if none is to come.
    async fn next(&mut self) -> EngineEvent {
        match self {
            Phase::Idle => std::future::pending().await,
            Phase::Opening(opening) => EngineEvent::Opened(opening.await),
            Phase::Reading(events) => EngineEvent::Chunk(events.next().await),
        }
    }
}

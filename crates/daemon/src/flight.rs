//! The task of one open model call: starts, resumes and moves its engine stream and relays it.

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
use bytes::Bytes;
use clock::Span;
use entry::attempt::Place;
use entry::attempt::Report;
use entry::effect::Command;
use entry::event::Event;
use front::chat::Chat;
use policy::decision::Transfer;
use policy::job::End;
use request::id::Id;
use request::id::Stream;
use request::relay::Pass;
use request::relay::Relay;
use request::resume::Resume;
use request::seal::Seal;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use verdict::Reason;
use verdict::Refusal;

use crate::link::Link;
use crate::link::Message;
use crate::output::Output;

/// How often tokens passed on are reported: the reducer needs counts, not chunks.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// What tasks of requests share.
pub struct Shared {
    /// The way to the loop.
    pub link: Rc<Link>,
    /// The way to backend servers.
    pub client: HttpClient,
    /// Seals resume words.
    pub seal: Seal,
}

/// One open model call.
pub struct Flight {
    shared: Rc<Shared>,
    serial: u64,
    origin: Id,
    chat: Chat,
    commands: mpsc::UnboundedReceiver<Command>,
    output: Output,
    relay: Relay,
    phase: Phase,
    running: Option<Running>,
    /// Tokens passed on since the last report.
    unreported: u32,
    /// Longest time between two tokens since the last report.
    worst_gap: Span,
    /// When the last token was passed on.
    last_token: Option<Instant>,
    /// Tokens passed on by this task.
    passed: u64,
}

/// The attempt that runs.
#[derive(Clone)]
struct Running {
    /// Number of the attempt here.
    attempt: u32,
    /// The engine's stream.
    stream: Stream,
    place: Place,
    account: SmolStr,
    /// The caller's offset of that stream's first token.
    base: u64,
    how: Asked,
}

/// How the stream that is read now was asked for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// Started or moved by this task, or read from since.
    Fresh,
    /// Asked for again after a cut, and nothing came since.
    Again,
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
    On,
    Over,
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
            relay: Relay::starting_at(next),
            phase: Phase::Idle,
            running: None,
            unreported: 0,
            worst_gap: Span::ZERO,
            last_token: None,
            passed: 0,
        }
    }

    /// Serves the call to its end.
    pub async fn run(mut self) {
        let mut report = tokio::time::interval(REPORT_TIME);
        report.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let flow = tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(command) => self.command(command).await,
                    None => Flow::Over,
                },
                () = self.output.closed() => {
                    self.shared.link.event(Event::CallerGone { serial: self.serial });
                    Flow::Over
                }
                word = self.phase.next() => self.word(word).await,
                _ = report.tick() => {
                    self.report_tokens();
                    Flow::On
                }
            };
            if flow == Flow::Over {
                break;
            }
        }
        let serial = self.serial;
        self.shared.link.send(Message::Closed { serial });
    }

    /// Does what the reducer wants.
    async fn command(&mut self, command: Command) -> Flow {
        match command {
            Command::Refuse(refusal) => {
                self.give_up_stream();
                self.output.refuse(&refusal).await;
                return Flow::Over;
            }
            Command::Drop => return Flow::Over,
            Command::Stop => {
                self.give_up_stream();
                self.phase = Phase::Idle;
            }
            Command::HandOff { address } => {
                let token = self.token();
                self.output.hand_off(&address, &token).await;
                return Flow::Over;
            }
            Command::Start {
                stream,
                place,
                priority,
                account,
            } => {
                if self.passed >= u64::from(self.chat.max_new_tokens) {
                    return self.whole(stream).await;
                }
                self.start(stream, place, priority, account);
            }
            Command::Attach {
                attempt,
                stream,
                place,
                base,
                account,
            } => self.attach(Running {
                attempt,
                stream,
                place,
                account,
                base,
                how: Asked::Adopted,
            }),
            Command::Move { stream, place, how } => self.move_to(stream, place, how),
        }
        Flow::On
    }

    /// The answer was cut between its last token and its end: nothing is left to be computed.
    async fn whole(&mut self, stream: Stream) -> Flow {
        self.shared.link.event(Event::Attempt {
            serial: self.serial,
            attempt: stream.attempt,
            report: Report::Ended {
                end: End::Finished,
                tokens: std::mem::take(&mut self.unreported),
            },
        });
        self.output.done().await;
        Flow::Over
    }

    /// Starts the call, behind what was passed on already.
    fn start(&mut self, stream: Stream, place: Place, priority: u8, account: SmolStr) {
        let base = self.relay.next();
        self.relay.begin(stream.attempt, base);
        self.running = Some(Running {
            attempt: stream.attempt,
            stream,
            place: place.clone(),
            account,
            base,
            how: Asked::Fresh,
        });
        let body = self.body();
        let client = self.shared.client.clone();
        self.phase = Phase::Opening(Box::pin(async move {
            let engine = Engine::new(&client, &place.address);
            let events = engine.start(stream, priority, body).await;
            Opened {
                events,
                moved: None,
            }
        }));
    }

    /// Goes on reading a stream that an engine holds.
    fn attach(&mut self, running: Running) {
        self.relay.begin(running.attempt, running.base);
        let offset = self.relay.next().saturating_sub(running.base);
        let stream = running.stream;
        let address = running.place.address.clone();
        let client = self.shared.client.clone();
        self.running = Some(running);
        self.phase = Phase::Opening(Box::pin(async move {
            let events = Engine::new(&client, &address).resume(stream, offset).await;
            Opened {
                events,
                moved: None,
            }
        }));
    }

    /// Moves the running stream, by its KV cache or by running it again.
    fn move_to(&mut self, stream: Stream, place: Place, how: Transfer) {
        let Some(old) = self.running.clone() else {
            return;
        };
        let base = old.base;
        let offset = self.relay.next().saturating_sub(base);
        self.relay.begin(stream.attempt, base);
        self.running = Some(Running {
            attempt: stream.attempt,
            stream,
            place: place.clone(),
            account: old.account,
            base,
            how: Asked::Fresh,
        });
        let client = self.shared.client.clone();
        self.phase = Phase::Opening(Box::pin(async move {
            let from = Engine::new(&client, &old.place.address);
            let to = Engine::new(&client, &place.address);
            let events = match how {
                Transfer::Kv => transfer(&from, old.stream, &to, stream, offset).await,
                Transfer::Rerun => Err(Failure::NotSent),
            };
            if events.is_err() {
                // Neither engine is to go on with it: it is run again from here.
                let _ = from.cancel(old.stream).await;
                let _ = to.cancel(stream).await;
            }
            Opened {
                events,
                moved: Some(how),
            }
        }));
    }

    /// Takes the engine's next word.
    async fn word(&mut self, word: Word) -> Flow {
        match word {
            Word::Opened(opened) => self.opened(opened).await,
            Word::Chunk(Ok(Chunk::Token { offset, data })) => self.token_came(offset, data).await,
            Word::Chunk(Ok(Chunk::Done)) => {
                self.report_end(End::Finished);
                self.output.done().await;
                Flow::Over
            }
            Word::Chunk(Err(failure)) => {
                self.broken(&failure);
                Flow::On
            }
        }
    }

    /// The stream has begun, or could not.
    async fn opened(&mut self, opened: Opened) -> Flow {
        self.phase = Phase::Idle;
        match (opened.events, opened.moved) {
            (Ok(events), moved) => {
                self.phase = Phase::Reading(events);
                let token = self.token();
                self.output.begin(&token).await;
                match moved {
                    Some(how) => self.report(Report::Moved { how, recomputed: 0 }),
                    None => self.report(Report::Head),
                }
                Flow::On
            }
            (Err(_), Some(_)) => {
                self.rerun();
                Flow::On
            }
            (Err(failure), None) => self.not_opened(&failure).await,
        }
    }

    /// The stream could not be moved: its replica runs prompt and tokens so far again.
    fn rerun(&mut self) {
        let Some(running) = self.running.clone() else {
            return;
        };
        let recomputed = self.chat.prompt_tokens + u32::try_from(self.passed).unwrap_or(u32::MAX);
        self.report(Report::Moved {
            how: Transfer::Rerun,
            recomputed,
        });
        self.start(running.stream, running.place, 0, running.account);
    }

    /// A start or a resume failed.
    async fn not_opened(&mut self, failure: &Failure) -> Flow {
        let how = self.running.as_ref().map_or(Asked::Fresh, |one| one.how);
        match (how, failure) {
            (Asked::Adopted, _) => self.report(Report::AttachFailed),
            // It ran there before the cut, so "not sent" speaks of the question alone.
            (Asked::Again, Failure::NotSent | Failure::Broken) => self.report_end(End::Crashed),
            (Asked::Again, _) => self.report_end(End::Failed),
            (Asked::Fresh, Failure::Answered { status, .. }) if (400..500).contains(status) => {
                self.report_end(End::Left);
                let message = format!("the model engine answered {status}");
                let refusal = Refusal::may_have_run(Reason::Malformed, message);
                self.output.refuse(&refusal).await;
                return Flow::Over;
            }
            (Asked::Fresh, _) => self.report_end(end_of(failure)),
        }
        Flow::On
    }

    /// The stream broke: ask the same engine for it again once, since a cut connection alone costs
    /// nothing to mend, before the attempt counts as failed.
    fn broken(&mut self, failure: &Failure) {
        self.phase = Phase::Idle;
        let Some(mut running) = self.running.clone() else {
            return;
        };
        match running.how {
            Asked::Adopted => self.report(Report::AttachFailed),
            Asked::Again => self.report_end(end_of(failure)),
            Asked::Fresh => {
                running.how = Asked::Again;
                self.attach(running);
            }
        }
    }

    /// Passes a token on, if it is the next one.
    async fn token_came(&mut self, engine_offset: u64, data: Bytes) -> Flow {
        let Some(running) = &mut self.running else {
            return Flow::On;
        };
        let offset = self.relay.next();
        match self.relay.chunk(running.attempt, engine_offset) {
            Pass::Drop => {}
            Pass::Gap => self.broken(&Failure::Broken),
            Pass::Emit => {
                running.how = Asked::Fresh;
                self.unreported += 1;
                let last = self.last_token.replace(Instant::now());
                if let Some(last) = last {
                    let gap = Span::from_millis(last.elapsed().as_millis() as u64);
                    self.worst_gap = self.worst_gap.max(gap);
                }
                self.passed += 1;
                self.output.chunk(offset, data).await;
            }
        }
        Flow::On
    }

    /// The body for the engine: the caller's own, or one that goes on behind what was passed on.
    fn body(&self) -> Bytes {
        if self.passed == 0 {
            return self.chat.body.clone();
        }
        let mut text = self.chat.text_so_far.clone().unwrap_or_default();
        text.push_str(&self.output.text());
        self.chat.continued_body(&text, self.passed)
    }

    /// The sealed word with which the caller can come back to the running stream.
    fn token(&self) -> String {
        let Some(running) = &self.running else {
            return String::new();
        };
        self.shared.seal.close(&Resume {
            request: self.origin,
            account: running.account.clone(),
            deployment: self.chat.deployment.clone(),
            stream: running.stream,
            address: running.place.address.clone(),
            incarnation: running.place.incarnation.clone(),
            base: running.base,
        })
    }

    /// Stops the engine's work on a call that nobody waits for.
    fn give_up_stream(&mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        let client = self.shared.client.clone();
        tokio::task::spawn_local(async move {
            let engine = Engine::new(&client, &running.place.address);
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
enum Word {
    Opened(Opened),
    Chunk(Result<Chunk, Failure>),
}

impl Phase {
    /// Waits for the engine's next word; for ever if none is to come.
    async fn next(&mut self) -> Word {
        match self {
            Phase::Idle => std::future::pending().await,
            Phase::Opening(opening) => Word::Opened(opening.await),
            Phase::Reading(events) => Word::Chunk(events.next().await),
        }
    }
}

/// Takes a stream's KV cache from one engine to another and goes on reading there.
async fn transfer(
    from: &Engine<'_>,
    old: Stream,
    to: &Engine<'_>,
    new: Stream,
    offset: u64,
) -> Result<Events, Failure> {
    let blob = from.export(old).await?;
    to.import(new, blob).await?;
    to.resume(new, offset).await
}

/// The scheduler's view of a failure.
fn end_of(failure: &Failure) -> End {
    match failure {
        Failure::NotSent | Failure::NotStarted => End::NotStarted,
        Failure::Broken => End::Crashed,
        Failure::Answered { .. } | Failure::TimedOut => End::Failed,
    }
}

//! The task of one open request: carries out the reducer's commands and reports their results.

use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use clock::Span;
use gateway::attempt::End;
use gateway::attempt::Report;
use gateway::effect::Command;
use gateway::effect::Start;
use gateway::event::Event;
use gateway::stop::leaving_refusal;
use http::Response;
use http::request;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::watch;
use verdict::Refusal;

use crate::caller::Caller;
use crate::inbox::Message;
use crate::migration::Migration;
use crate::migration::Moving;
use crate::sequence::Sequence;
use crate::shared::Shared;

/// One open request.
pub struct Flight {
    /// State shared by all tasks.
    pub shared: Rc<Shared>,
    /// The caller's request.
    pub inbound: Inbound,
    /// The caller that awaits the answer.
    pub caller: Caller,
    /// A replica's own error answer, sent if no other replica does better.
    pub fallback: Option<Response<Bytes>>,
    /// The events that the caller received.
    pub sequence: Sequence,
    /// Tokens relayed so far.
    pub tokens: u32,
    /// Longest pause between two events.
    pub longest_pause: Span,
    /// Whether the attempt's server was ordered to stop the run and move it.
    pub moving: Rc<watch::Sender<Moving>>,
    /// The latest attempt whose version was recorded.
    pub recorded: Rc<watch::Sender<u32>>,
}

/// A request as received.
pub struct Inbound {
    /// The entry's number of the request.
    pub serial: u64,
    /// The caller's id of the request.
    pub id: SmolStr,
    /// The request's head.
    pub head: request::Parts,
    /// The request's body.
    pub body: Bytes,
}

/// The next step of a flight.
enum Next {
    Ended(End),
    Commanded(Command),
    Disconnected,
}

impl Flight {
    /// Runs until the request has its final answer or its caller disconnects.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut next_command = None;
        let mut was_started = false;
        loop {
            let next = match next_command.take() {
                Some(command) => Next::Commanded(command),
                None => self.wait(&mut commands).await,
            };
            match next {
                Next::Commanded(Command::Start(start)) => {
                    was_started = true;
                    match self.attempt(&start, &mut commands).await {
                        Next::Ended(end) => {
                            let over = matches!(end, End::Finished { .. });
                            self.report(&start, Report::Ended(end));
                            if over {
                                break;
                            }
                        }
                        Next::Commanded(command) => next_command = Some(command),
                        Next::Disconnected => {
                            self.report_disconnect();
                            break;
                        }
                    }
                }
                Next::Commanded(Command::Refuse(refusal)) => {
                    self.refuse(&refusal);
                    break;
                }
                Next::Commanded(Command::Recorded { attempt }) => {
                    self.recorded.send_replace(attempt);
                }
                Next::Commanded(Command::Stop | Command::Move(_)) | Next::Ended(_) => {}
                Next::Disconnected => {
                    if commands.is_closed() && !was_started {
                        self.refuse(&leaving_refusal("this entry has ended"));
                    }
                    self.report_disconnect();
                    break;
                }
            }
        }
        let serial = self.inbound.serial;
        self.shared.handle.send(Message::Closed { serial });
    }

    /// Reports the progress or end of an attempt to the reducer.
    pub fn report(&self, start: &Start, report: Report) {
        self.shared.handle.send_event(Event::Attempt {
            serial: self.inbound.serial,
            attempt: start.attempt,
            report,
        });
    }

    /// Waits for a command while no attempt is running.
    async fn wait(&mut self, commands: &mut mpsc::UnboundedReceiver<Command>) -> Next {
        tokio::select! {
            biased;
            command = commands.recv() => command.map_or(Next::Disconnected, Next::Commanded),
            () = self.caller.disconnected() => Next::Disconnected,
        }
    }

    /// Makes one attempt until it ends, another command arrives or the caller disconnects. The latter two
    /// drop the attempt with its connection, which cancels the replica's work; a move command lets the
    /// attempt continue.
    async fn attempt(
        &mut self,
        start: &Start,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> Next {
        let (shared, id) = (Rc::clone(&self.shared), self.inbound.id.clone());
        let started = shared.clock.now();
        let moving = Rc::clone(&self.moving);
        let recorded = Rc::clone(&self.recorded);
        moving.send_replace(Moving::No);
        let mut migration: Option<Migration> = None;
        let end = {
            let mut exchange = pin!(self.exchange(start, None));
            loop {
                tokio::select! {
                    biased;
                    command = commands.recv() => match command {
                        Some(Command::Move(to)) => {
                            moving.send_replace(Moving::Asked);
                            migration.get_or_insert_with(|| Migration::new(&shared, &id, &start.endpoint, to));
                        }
                        Some(Command::Recorded { attempt }) => {
                            recorded.send_replace(attempt);
                        }
                        command => return command.map_or(Next::Disconnected, Next::Commanded),
                    },
                    end = &mut exchange => break end,
                    () = wait_for_answer(&mut migration) => {
                        let standing = migration.as_ref().map(Migration::standing);
                        moving.send_replace(standing.unwrap_or_default());
                    }
                }
            }
        };
        let Some(migration) = migration else {
            return end.map_or(Next::Disconnected, Next::Ended);
        };
        tokio::select! {
            biased;
            command = next_command_of_request(commands, &recorded) => command.map_or(Next::Disconnected, Next::Commanded),
            end = self.continue_elsewhere(start, started, end, migration) => end.map_or(Next::Disconnected, Next::Ended),
        }
    }

    /// Sends the caller its final answer.
    fn refuse(&mut self, refusal: &Refusal) {
        if self.caller.is_streaming() {
            self.caller.abort();
            return;
        }
        let answer = match self.fallback.take() {
            Some(fallback) => fallback,
            None => self.shared.codec.encode_refusal(refusal),
        };
        self.caller.respond(answer);
    }

    fn report_disconnect(&self) {
        self.shared.handle.send_event(Event::CallerDisconnected {
            serial: self.inbound.serial,
        });
    }
}

/// Waits for the answer to a move request, if one was sent.
async fn wait_for_answer(migration: &mut Option<Migration>) {
    match migration {
        Some(migration) => migration.wait_for_answer().await,
        None => std::future::pending().await,
    }
}

/// Receives the next command that doesn't concern the current attempt alone, skipping further moves.
async fn next_command_of_request(
    commands: &mut mpsc::UnboundedReceiver<Command>,
    recorded: &watch::Sender<u32>,
) -> Option<Command> {
    loop {
        match commands.recv().await {
            Some(Command::Move(_)) => {}
            Some(Command::Recorded { attempt }) => {
                recorded.send_replace(attempt);
            }
            command => return command,
        }
    }
}

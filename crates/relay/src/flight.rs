//! The task of one open request: carries out what the reducer decides and reports what comes of it.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use clock::Span;
use gateway::attempt::End;
use gateway::attempt::Report;
use gateway::effect::Command;
use gateway::effect::Start;
use gateway::event::Event;
use http::Response;
use http::request;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use verdict::Refusal;

use crate::caller::Caller;
use crate::link::Message;
use crate::moving::Moving;
use crate::shared::Shared;

/// One open request.
pub struct Flight {
    /// What tasks have in common.
    pub shared: Rc<Shared>,
    /// What is asked.
    pub question: Question,
    /// Who waits for the answer.
    pub caller: Caller,
    /// A replica's own answer that it failed, given if no other replica does better.
    pub kept: Option<Response<Bytes>>,
    /// Name of the last event that the caller got.
    pub last_event: Option<SmolStr>,
    /// Tokens passed on.
    pub tokens: u32,
    /// Longest pause between two events.
    pub pause: Span,
    /// Whether the attempt's server was told to stop it and hand it over.
    pub moving: Rc<Cell<bool>>,
}

/// A request as it was read.
pub struct Question {
    /// Names it here.
    pub serial: u64,
    /// The caller's name for it.
    pub id: SmolStr,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
}

/// What comes next for a flight.
enum Next {
    Ended(End),
    Ordered(Command),
    CallerGone,
}

impl Flight {
    /// Runs until the request has its final answer or its caller is gone.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut ordered = None;
        loop {
            let next = match ordered.take() {
                Some(command) => Next::Ordered(command),
                None => self.wait(&mut commands).await,
            };
            match next {
                Next::Ordered(Command::Start(start)) => {
                    match self.attempt(&start, &mut commands).await {
                        Next::Ended(end) => {
                            let over = matches!(end, End::Finished { .. });
                            self.report(&start, Report::Ended(end));
                            if over {
                                break;
                            }
                        }
                        Next::Ordered(command) => ordered = Some(command),
                        Next::CallerGone => {
                            self.caller_gone();
                            break;
                        }
                    }
                }
                Next::Ordered(Command::Refuse(refusal)) => {
                    self.refuse(&refusal).await;
                    break;
                }
                Next::Ordered(Command::Stop | Command::Move(_)) | Next::Ended(_) => {}
                Next::CallerGone => {
                    self.caller_gone();
                    break;
                }
            }
        }
        let serial = self.question.serial;
        self.shared.link.send(Message::Closed { serial });
    }

    /// Tells the reducer of an attempt.
    pub fn report(&self, start: &Start, report: Report) {
        self.shared.link.event(Event::Attempt {
            serial: self.question.serial,
            attempt: start.attempt,
            report,
        });
    }

    /// Waits for an order while no attempt is made.
    async fn wait(&mut self, commands: &mut mpsc::UnboundedReceiver<Command>) -> Next {
        tokio::select! {
            biased;
            command = commands.recv() => command.map_or(Next::CallerGone, Next::Ordered),
            () = self.caller.gone() => Next::CallerGone,
        }
    }

    /// Makes one attempt, unless an order or the caller's end comes between. Either drops the attempt
    /// with its connection, which stops the replica's work. Only a move lets the attempt go on.
    async fn attempt(
        &mut self,
        start: &Start,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> Next {
        let (shared, id) = (Rc::clone(&self.shared), self.question.id.clone());
        let begun = shared.clock.now();
        let ordered = Rc::clone(&self.moving);
        ordered.set(false);
        let mut moving: Option<Moving> = None;
        let end = {
            let mut exchange = pin!(self.exchange(start, None));
            loop {
                tokio::select! {
                    biased;
                    command = commands.recv() => match command {
                        Some(Command::Move(to)) => {
                            ordered.set(true);
                            moving.get_or_insert_with(|| Moving::new(&shared, &id, &start.endpoint, to));
                        }
                        command => return command.map_or(Next::CallerGone, Next::Ordered),
                    },
                    end = &mut exchange => break end,
                    () = progress(&mut moving) => {}
                }
            }
        };
        let Some(moving) = moving else {
            return end.map_or(Next::CallerGone, Next::Ended);
        };
        tokio::select! {
            biased;
            command = other_order(commands) => command.map_or(Next::CallerGone, Next::Ordered),
            end = self.go_on(start, begun, end, moving) => end.map_or(Next::CallerGone, Next::Ended),
        }
    }

    /// Gives the caller its final answer.
    async fn refuse(&mut self, refusal: &Refusal) {
        if self.caller.is_reading() {
            self.caller.break_off().await;
            return;
        }
        let answer = match self.kept.take() {
            Some(kept) => kept,
            None => self.shared.codec.refusal(refusal),
        };
        self.caller.answer(answer);
    }

    fn caller_gone(&self) {
        self.shared.link.event(Event::CallerDisconnected {
            serial: self.question.serial,
        });
    }
}

/// Waits for the answer to an order to move, if one was given.
async fn progress(moving: &mut Option<Moving>) {
    match moving {
        Some(moving) => moving.progress().await,
        None => std::future::pending().await,
    }
}

/// The next order that isn't another one to move.
async fn other_order(commands: &mut mpsc::UnboundedReceiver<Command>) -> Option<Command> {
    loop {
        match commands.recv().await {
            Some(Command::Move(_)) => {}
            command => return command,
        }
    }
}

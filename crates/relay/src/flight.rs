//! The task of one open request: carries out what the reducer decides and reports what comes of it.

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
                Next::Ordered(Command::Stop) | Next::Ended(_) => {}
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
    /// with its connection, which stops the replica's work.
    async fn attempt(
        &mut self,
        start: &Start,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> Next {
        tokio::select! {
            biased;
            command = commands.recv() => command.map_or(Next::CallerGone, Next::Ordered),
            end = self.exchange(start) => end.map_or(Next::CallerGone, Next::Ended),
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
        self.shared.link.event(Event::CallerGone {
            serial: self.question.serial,
        });
    }
}

//! Takes what an engine says: that the stream has begun, its tokens, its end, its failure.

use std::time::Instant;

use back::events::Chunk;
use back::failure::Failure;
use bytes::Bytes;
use clock::Span;
use entry::attempt::Report;
use policy::decision::Transfer;
use policy::job::End;
use request::sequencer::Decision;
use verdict::Reason;
use verdict::Refusal;

use crate::ends::end_of;
use crate::flight::Asked;
use crate::flight::Flight;
use crate::flight::Flow;
use crate::flight::Opened;
use crate::flight::Phase;
use crate::flight::Word;

impl Flight {
    /// Takes the engine's next word.
    pub(super) async fn word(&mut self, word: Word) -> Flow {
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
                    Some(transfer) => self.report(Report::Moved {
                        transfer,
                        recomputed: 0,
                    }),
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
            transfer: Transfer::Rerun,
            recomputed,
        });
        self.start(running.stream, running.endpoint, 0, running.account);
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
        match self.relay.accept(running.attempt, engine_offset) {
            Decision::Drop => {}
            Decision::Gap => self.broken(&Failure::Broken),
            Decision::Emit => {
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
}

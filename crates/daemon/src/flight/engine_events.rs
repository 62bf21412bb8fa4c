//! Handles events of an engine's stream: opened, token, end and failure.

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

use crate::attempt_end::end_of;
use crate::flight::EngineEvent;
use crate::flight::Flight;
use crate::flight::Flow;
use crate::flight::Opened;
use crate::flight::Phase;
use crate::flight::Source;

impl Flight {
    /// Handles the next event.
    pub(super) async fn handle_event(&mut self, event: EngineEvent) -> Flow {
        match event {
            EngineEvent::Opened(opened) => self.handle_opened(opened).await,
            EngineEvent::Chunk(Ok(Chunk::Token { offset, data })) => {
                self.forward_token(offset, data).await
            }
            EngineEvent::Chunk(Ok(Chunk::Done)) => {
                self.report_end(End::Finished);
                self.output.finish().await;
                Flow::Break
            }
            EngineEvent::Chunk(Err(failure)) => {
                self.handle_broken_stream(&failure);
                Flow::Continue
            }
        }
    }

    /// Handles the result of opening a stream.
    async fn handle_opened(&mut self, opened: Opened) -> Flow {
        self.phase = Phase::Idle;
        match (opened.events, opened.moved) {
            (Ok(events), moved) => {
                self.phase = Phase::Reading(events);
                let token = self.resume_token();
                self.output.begin_stream(&token).await;
                match moved {
                    Some(transfer) => self.report(Report::Moved {
                        transfer,
                        recomputed: 0,
                    }),
                    None => self.report(Report::Head),
                }
                Flow::Continue
            }
            (Err(_), Some(_)) => {
                self.rerun();
                Flow::Continue
            }
            (Err(failure), None) => self.handle_open_failure(&failure).await,
        }
    }

    /// Reruns the prompt and the tokens so far on the new replica, because the stream could not be moved.
    fn rerun(&mut self) {
        let Some(running) = self.running.clone() else {
            return;
        };
        let recomputed =
            self.chat.prompt_tokens + u32::try_from(self.forwarded).unwrap_or(u32::MAX);
        self.report(Report::Moved {
            transfer: Transfer::Rerun,
            recomputed,
        });
        self.start(running.stream, running.endpoint, 0, running.account);
    }

    /// Handles a failed start or resume.
    async fn handle_open_failure(&mut self, failure: &Failure) -> Flow {
        let source = self
            .running
            .as_ref()
            .map_or(Source::Fresh, |running| running.source);
        match (source, failure) {
            (Source::Adopted, _) => self.report(Report::AttachFailed),
            // The request ran there before the stream broke, so `NotSent` applies to the resume call alone.
            (Source::Retried, Failure::NotSent | Failure::Broken) => self.report_end(End::Crashed),
            (Source::Retried, _) => self.report_end(End::Failed),
            (Source::Fresh, Failure::Answered { status, .. }) if (400..500).contains(status) => {
                self.report_end(End::Left);
                let message = format!("the model engine answered {status}");
                let refusal = Refusal::may_have_run(Reason::Malformed, message);
                self.output.refuse(&refusal).await;
                return Flow::Break;
            }
            (Source::Fresh, _) => {
                if let Some(pause) = failure.pause() {
                    self.report(Report::PauseRequested { pause });
                }
                self.report_end(end_of(failure));
            }
        }
        Flow::Continue
    }

    /// Handles a broken stream: reopens it once at the same engine before the attempt counts as
    /// failed, because a lost connection alone loses no work.
    fn handle_broken_stream(&mut self, failure: &Failure) {
        self.phase = Phase::Idle;
        let Some(mut running) = self.running.clone() else {
            return;
        };
        match running.source {
            Source::Adopted => self.report(Report::AttachFailed),
            Source::Retried => self.report_end(end_of(failure)),
            Source::Fresh => {
                running.source = Source::Retried;
                self.attach(running);
            }
        }
    }

    /// Forwards a token if it is the next one.
    async fn forward_token(&mut self, engine_offset: u64, data: Bytes) -> Flow {
        let Some(running) = &mut self.running else {
            return Flow::Continue;
        };
        let offset = self.sequencer.next();
        match self.sequencer.accept(running.attempt, engine_offset) {
            Decision::Drop => {}
            Decision::Gap => self.handle_broken_stream(&Failure::Broken),
            Decision::Emit => {
                running.source = Source::Fresh;
                self.unreported += 1;
                let last = self.last_token.replace(Instant::now());
                if let Some(last) = last {
                    let gap = Span::from_millis(last.elapsed().as_millis() as u64);
                    self.worst_gap = self.worst_gap.max(gap);
                }
                self.forwarded += 1;
                self.output.send_chunk(offset, data).await;
            }
        }
        Flow::Continue
    }
}

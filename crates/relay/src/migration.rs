//! Migrates a run: its server stops it and hands over its KV cache, and another server resumes the request.
//!
//! A stream that may not be restarted would otherwise end with its server, and its answer would be truncated
//! whenever a reclaimable instance is taken back. A migrated run still runs only once: its server has stopped
//! it before the other one resumes, and events that both produced are relayed once.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use clock::Span;
use clock::Time;
use gateway::attempt::End;
use gateway::attempt::Endpoint;
use gateway::attempt::Report;
use gateway::effect::Start;
use http::StatusCode;
use http_body_util::Full;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::adapter::Transfer;
use crate::body;
use crate::flight::Flight;
use crate::reach;
use crate::shared::Shared;

/// Timeout of a move request: a KV cache of 50,000 tokens takes 30 ms between zones and queues behind others.
const MOVE_TIMEOUT: Span = Span::from_millis(1_000);
/// Largest answer to a move request.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// Whether the server of the current attempt was ordered to stop the run and move it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Moving {
    /// It wasn't, or it said that it doesn't know the run.
    #[default]
    No,
    /// It hasn't answered yet.
    Asked,
    /// It has stopped the run, or may have.
    Stopped,
}

/// Returns whether a run that has ended was stopped to be moved; waits for the answer to the order.
pub async fn is_run_stopped(moving: &watch::Sender<Moving>) -> bool {
    let mut answers = moving.subscribe();
    let answered = answers.wait_for(|moving| *moving != Moving::Asked).await;
    answered.is_ok_and(|moving| *moving == Moving::Stopped)
}

/// A run that is being moved to another server.
pub struct Migration {
    to: Endpoint,
    transfer: Pin<Box<dyn Future<Output = Result<Transfer, Cause>>>>,
    /// Result of the move request, once it is answered.
    outcome: Option<Result<Transfer, Cause>>,
}

impl Migration {
    /// Requests that the run's server stop it and move it to `to`.
    pub fn new(shared: &Rc<Shared>, id: &SmolStr, from: &Endpoint, to: Endpoint) -> Migration {
        let requesting = request_move(Rc::clone(shared), id.clone(), from.clone(), to.clone());
        Migration {
            to,
            transfer: Box::pin(requesting),
            outcome: None,
        }
    }

    /// Waits for the answer to the move request; never returns once it has arrived.
    pub async fn wait_for_answer(&mut self) {
        if self.outcome.is_some() {
            return std::future::pending().await;
        }
        self.outcome = Some(self.transfer.as_mut().await);
    }

    /// Returns how the order stands.
    pub fn standing(&self) -> Moving {
        match self.outcome {
            None => Moving::Asked,
            Some(Err(Cause::Unreached | Cause::UnknownRun)) => Moving::No,
            Some(_) => Moving::Stopped,
        }
    }

    /// Returns the KV cache to resume from, if the server stopped the run and moved it.
    async fn transfer(mut self) -> Option<(Endpoint, Transfer)> {
        if self.outcome.is_none() {
            self.wait_for_answer().await;
        }
        let transfer = self.outcome?.ok()?;
        Some((self.to, transfer))
    }
}

impl Flight {
    /// Resumes a run whose stream ended, or fell silent, because it was moved; returns `end` unchanged if it was not.
    pub async fn continue_elsewhere(
        &mut self,
        start: &Start,
        started: Time,
        end: Option<End>,
        migration: Migration,
    ) -> Option<End> {
        let Some(End::Broken { .. } | End::Interrupted | End::TimedOut { .. }) = end else {
            return end;
        };
        let Some((to, transfer)) = migration.transfer().await else {
            return end;
        };
        let next = Start {
            endpoint: to,
            fetch_from: None,
            // The run's memory is of its version.
            bound_to_process: true,
            time_left: start.time_left - self.shared.clock.now().since(started),
            ..start.clone()
        };
        self.report(start, Report::Moved);
        self.moving.send_replace(Moving::No);
        log::info!(
            event = "run_resumed",
            request = self.inbound.id.as_str(),
            attempt = start.attempt,
            source = transfer.source.as_str(),
            to = next.endpoint.incarnation.as_str(),
            last_event = self.sequence.last().map_or("", SmolStr::as_str);
            ""
        );
        match self.exchange(&next, Some(transfer)).await {
            // The run has started: whatever the other server answers, the request must not be restarted.
            Some(End::NotSent | End::Replaced | End::NotStarted) => {
                Some(End::Broken { alive: true })
            }
            end => end,
        }
    }
}

/// The reason why a run was not moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Its server accepted no connection.
    Unreached,
    /// The connection broke before the answer; the run may have been stopped.
    Unanswered,
    /// Its server doesn't know the run, which has ended there.
    UnknownRun,
    /// Its server answered that it found no room elsewhere, or didn't name the KV cache.
    NotMoved,
    /// The request timed out; the run may have been stopped.
    TimedOut,
}

impl Cause {
    /// Returns the form used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Cause::Unreached => "unreached",
            Cause::Unanswered => "unanswered",
            Cause::UnknownRun => "unknown_run",
            Cause::NotMoved => "not_moved",
            Cause::TimedOut => "timed_out",
        }
    }
}

/// Sends the move request; logs the reason if the run was not moved.
async fn request_move(
    shared: Rc<Shared>,
    id: SmolStr,
    from: Endpoint,
    to: Endpoint,
) -> Result<Transfer, Cause> {
    let requesting = hand_over(&shared, &id, &from, &to);
    let cause = match tokio::time::timeout(MOVE_TIMEOUT.as_duration(), requesting).await {
        Ok(Ok(transfer)) => return Ok(transfer),
        Ok(Err(cause)) => cause,
        Err(_) => Cause::TimedOut,
    };
    log::info!(
        event = "run_not_moved",
        request = id.as_str(),
        replica = from.incarnation.as_str(),
        to = to.incarnation.as_str(),
        cause = cause.as_str();
        ""
    );
    Err(cause)
}

/// Has the run's server stop it and hand over its KV cache.
async fn hand_over(
    shared: &Rc<Shared>,
    id: &str,
    from: &Endpoint,
    to: &Endpoint,
) -> Result<Transfer, Cause> {
    let connecting = reach::connect(shared, from).await;
    let mut connection = connecting.map_err(|_| Cause::Unreached)?;
    let request = shared.codec.move_request(id, to).map(Full::new);
    let response = connection.sender.send_request(request).await;
    let (head, body) = response.map_err(|_| Cause::Unanswered)?.into_parts();
    if head.status == StatusCode::NOT_FOUND {
        return Err(Cause::UnknownRun);
    }
    let answers = &shared.intake.answers;
    let body = body::collect(body, &connection.meter, answers, MAX_ANSWER_BYTES).await;
    let body = body.map_err(|_| Cause::Unanswered)?;
    let transfer = shared.codec.decode_moved(from, head.status, &body);
    transfer.ok_or(Cause::NotMoved)
}

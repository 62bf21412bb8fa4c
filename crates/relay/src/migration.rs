//! Moving a run: its server stops it and hands its memory over, and the same request goes on elsewhere.
//!
//! Failure guarded against: a stream that may not be begun anew ends with its server. It shows as answers that break
//! off whenever reclaimable servers are taken back. One that is moved is one run still: its server has stopped before
//! the other one goes on, and events that both made are passed on once.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use clock::Span;
use clock::Time;
use gateway::attempt::End;
use gateway::attempt::Endpoint;
use gateway::attempt::Report;
use gateway::effect::Start;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use smol_str::SmolStr;

use crate::adapter::Transfer;
use crate::flight::Flight;
use crate::shared::Shared;

/// Longest wait for the answer to an order to move: memory of 50,000 tokens takes 30 ms between zones and queues
/// behind that of others.
const MOVE_TIMEOUT: Span = Span::from_millis(1_000);
/// Largest answer to it.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// A run on its way to another server.
pub struct Migration {
    to: Endpoint,
    transfer: Pin<Box<dyn Future<Output = Option<Transfer>>>>,
    /// What came of the order, once it was answered.
    outcome: Option<Option<Transfer>>,
}

impl Migration {
    /// Orders the run's server to stop it and hand it over.
    pub fn new(shared: &Rc<Shared>, id: &SmolStr, from: &Endpoint, to: Endpoint) -> Migration {
        let requesting = request_move(Rc::clone(shared), id.clone(), from.clone(), to.clone());
        Migration {
            to,
            transfer: Box::pin(requesting),
            outcome: None,
        }
    }

    /// Waits for the answer; forever once it came.
    pub async fn wait_for_answer(&mut self) {
        if self.outcome.is_some() {
            return std::future::pending().await;
        }
        self.outcome = Some(self.transfer.as_mut().await);
    }

    /// What the run goes on from, if its server has stopped it.
    async fn transfer(mut self) -> Option<(Endpoint, Transfer)> {
        if self.outcome.is_none() {
            self.wait_for_answer().await;
        }
        let transfer = self.outcome.flatten()?;
        Some((self.to, transfer))
    }
}

impl Flight {
    /// Goes on with a run whose stream has ended since it was moved; otherwise its end stands.
    pub async fn continue_elsewhere(
        &mut self,
        start: &Start,
        started: Time,
        end: Option<End>,
        migration: Migration,
    ) -> Option<End> {
        let Some(End::Broken { .. }) = end else {
            return end;
        };
        let Some((to, transfer)) = migration.transfer().await else {
            return end;
        };
        let next = Start {
            endpoint: to,
            fetch_from: None,
            time_left: start.time_left - self.shared.clock.now().since(started),
            ..start.clone()
        };
        self.report(start, Report::Moved);
        match self.exchange(&next, Some(transfer)).await {
            // It has run where it was: whatever the other server says, it isn't to be begun anew.
            Some(End::NotSent | End::NotStarted) => Some(End::Broken { alive: true }),
            end => end,
        }
    }
}

/// Why a run wasn't moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Its server took no connection.
    Unreached,
    /// The connection broke before the answer: the run may have been stopped.
    Unanswered,
    /// Its server says that the run goes on, is unknown to it, or found no room elsewhere.
    NotMoved,
    /// No answer came in time: the run may have been stopped.
    TimedOut,
}

impl Cause {
    /// The form used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Cause::Unreached => "unreached",
            Cause::Unanswered => "unanswered",
            Cause::NotMoved => "not_moved",
            Cause::TimedOut => "timed_out",
        }
    }
}

/// Gives the order and logs why nothing came of it.
async fn request_move(
    shared: Rc<Shared>,
    id: SmolStr,
    from: Endpoint,
    to: Endpoint,
) -> Option<Transfer> {
    let requesting = hand_over(&shared, &id, &from, &to);
    let cause = match tokio::time::timeout(MOVE_TIMEOUT.as_duration(), requesting).await {
        Ok(Ok(transfer)) => return Some(transfer),
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
    None
}

/// Has the run's server stop it and hand its memory over.
async fn hand_over(
    shared: &Shared,
    id: &str,
    from: &Endpoint,
    to: &Endpoint,
) -> Result<Transfer, Cause> {
    let connecting = shared.pool.connect(from).await;
    let mut connection = connecting.map_err(|_| Cause::Unreached)?;
    let request = shared.codec.move_request(id, to).map(Full::new);
    let response = connection.sender.send_request(request).await;
    let (head, body) = response.map_err(|_| Cause::Unanswered)?.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| Cause::Unanswered)?.to_bytes();
    let transfer = shared.codec.decode_moved(from, head.status, &body);
    transfer.ok_or(Cause::NotMoved)
}

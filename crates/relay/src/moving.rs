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

use crate::adapter::Memory;
use crate::flight::Flight;
use crate::shared::Shared;

/// Longest wait for the answer to an order to move: memory of 50,000 tokens takes 30 ms between zones and queues
/// behind that of others.
const MOVE_TIME: Span = Span::from_millis(1_000);
/// Largest answer to it.
const ANSWER_BYTES: usize = 16 << 10;

/// A run on its way to another server.
pub struct Moving {
    to: Endpoint,
    memory: Pin<Box<dyn Future<Output = Option<Memory>>>>,
    /// What came of the order, once it was answered.
    answered: Option<Option<Memory>>,
}

impl Moving {
    /// Orders the run's server to stop it and hand it over.
    pub fn new(shared: &Rc<Shared>, id: &SmolStr, from: &Endpoint, to: Endpoint) -> Moving {
        let ordering = order(Rc::clone(shared), id.clone(), from.clone(), to.clone());
        Moving {
            to,
            memory: Box::pin(ordering),
            answered: None,
        }
    }

    /// Waits for the answer; forever once it came.
    pub async fn progress(&mut self) {
        if self.answered.is_some() {
            return std::future::pending().await;
        }
        self.answered = Some(self.memory.as_mut().await);
    }

    /// What the run goes on from, if its server has stopped it.
    async fn memory(mut self) -> Option<(Endpoint, Memory)> {
        if self.answered.is_none() {
            self.progress().await;
        }
        let memory = self.answered.flatten()?;
        Some((self.to, memory))
    }
}

impl Flight {
    /// Goes on with a run whose stream has ended since it was moved; otherwise its end stands.
    pub async fn go_on(
        &mut self,
        start: &Start,
        begun: Time,
        end: Option<End>,
        moving: Moving,
    ) -> Option<End> {
        let Some(End::Broken { .. }) = end else {
            return end;
        };
        let Some((to, memory)) = moving.memory().await else {
            return end;
        };
        let next = Start {
            endpoint: to,
            fetch_from: None,
            time_left: start.time_left - self.shared.clock.now().since(begun),
            ..start.clone()
        };
        self.report(start, Report::Moved);
        match self.exchange(&next, Some(memory)).await {
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
async fn order(shared: Rc<Shared>, id: SmolStr, from: Endpoint, to: Endpoint) -> Option<Memory> {
    let ordering = hand_over(&shared, &id, &from, &to);
    let cause = match tokio::time::timeout(MOVE_TIME.as_duration(), ordering).await {
        Ok(Ok(memory)) => return Some(memory),
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
) -> Result<Memory, Cause> {
    let connecting = shared.pool.connect(from).await;
    let mut connection = connecting.map_err(|_| Cause::Unreached)?;
    let request = shared.codec.move_request(id, to).map(Full::new);
    let response = connection.sender.send_request(request).await;
    let (head, body) = response.map_err(|_| Cause::Unanswered)?.into_parts();
    let body = Limited::new(body, ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| Cause::Unanswered)?.to_bytes();
    let memory = shared.codec.moved(from, head.status, &body);
    memory.ok_or(Cause::NotMoved)
}

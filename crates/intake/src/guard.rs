//! Ends a connection at its time limits, or when it has to give way.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;

use clock::Clock;
use clock::Time;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::configs::limits::Times;
use crate::connections::Connection;
use crate::connections::FIRST_HEAD_TIME;
use crate::stats::Action;

/// Most reads of one connection before it is closed, enough for the largest body that a socket holds.
const MAX_PROBES: usize = 1_000;

/// Watches over one connection.
pub struct Guard<'a> {
    clock: Clock,
    connection: &'a Connection,
    times: Times,
    timer: Option<(Time, Pin<Box<Sleep>>)>,
}

impl<'a> Guard<'a> {
    /// Creates a guard.
    pub fn new(clock: Clock, connection: &'a Connection, times: Times) -> Guard<'a> {
        Guard {
            clock,
            connection,
            times,
            timer: None,
        }
    }

    /// Runs the connection's task until it ends, or returns why the connection is to be closed.
    pub async fn watch<F: Future>(&mut self, mut task: Pin<&mut F>) -> Result<F::Output, Action> {
        poll_fn(|context| self.poll_watch(task.as_mut(), context)).await
    }

    /// The same until no head is awaited; `None` if the connection is still open then.
    pub async fn watch_heads<F: Future>(
        &mut self,
        mut task: Pin<&mut F>,
    ) -> Option<Result<F::Output, Action>> {
        let mut first_head = pin!(sleep(FIRST_HEAD_TIME.as_duration()));
        poll_fn(|context| {
            if let Poll::Ready(ended) = self.poll_watch(task.as_mut(), context) {
                return Poll::Ready(Some(ended));
            }
            if let Poll::Ready(output) = self.probe(task.as_mut(), context) {
                return Poll::Ready(Some(Ok(output)));
            }
            if !self.connection.is_awaiting_head(self.clock.now()) {
                return Poll::Ready(None);
            }
            // The timer of an unfinished head is set already.
            let _ = first_head.as_mut().poll(context);
            Poll::Pending
        })
        .await
    }

    fn poll_watch<F: Future>(
        &mut self,
        mut task: Pin<&mut F>,
        context: &mut Context<'_>,
    ) -> Poll<Result<F::Output, Action>> {
        let before = self.connection.progress();
        if let Poll::Ready(output) = task.as_mut().poll(context) {
            return Poll::Ready(Ok(output));
        }
        if self.poll_end(context).is_pending() {
            return Poll::Pending;
        }
        // What has arrived meanwhile counts, also after a pause of the process.
        if let Poll::Ready(output) = self.probe(task, context) {
            return Poll::Ready(Ok(output));
        }
        if self.connection.has_begun_since(before) {
            self.connection.keep_open();
        }
        self.poll_end(context).map(Err)
    }

    /// Polls the connection's task with all that has arrived at its socket by now.
    fn probe<F: Future>(
        &self,
        mut task: Pin<&mut F>,
        context: &mut Context<'_>,
    ) -> Poll<F::Output> {
        self.connection.set_probing(true);
        let mut polled = Poll::Pending;
        for _ in 0..MAX_PROBES {
            let read = self.connection.bytes_read();
            polled = task.as_mut().poll(context);
            if polled.is_ready() || self.connection.bytes_read() == read {
                break;
            }
        }
        self.connection.set_probing(false);
        polled
    }

    /// Resolves once the connection is to be closed.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Action> {
        match self.connection.closed_for(context.waker()) {
            Some(action) => Poll::Ready(action),
            None => self.poll_deadline(context),
        }
    }

    /// Resolves at the connection's time limit. The timer is set again only if the limit is earlier, or it has fired.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<Action> {
        while let Some((deadline, action)) = self.connection.deadline(&self.times) {
            let now = self.clock.now();
            if now >= deadline {
                return Poll::Ready(action);
            }
            let is_set = self.timer.as_ref().is_some_and(|(at, _)| *at <= deadline);
            if !is_set {
                let at = Instant::now() + deadline.since(now).as_duration();
                match &mut self.timer {
                    Some((time, timer)) => {
                        *time = deadline;
                        timer.as_mut().reset(at);
                    }
                    None => self.timer = Some((deadline, Box::pin(sleep_until(at)))),
                }
            }
            let Some((time, timer)) = &mut self.timer else {
                return Poll::Pending;
            };
            if timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            *time = Time::from_millis(u64::MAX);
        }
        Poll::Pending
    }
}

//! Ends a connection at its time limits, or when it has to give way.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use clock::Clock;
use clock::Time;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::configs::limits::Times;
use crate::connections::Connection;
use crate::stats::Action;

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
        poll_fn(|context| {
            // What has arrived meanwhile counts, also after a pause of the process.
            if let Poll::Ready(output) = task.as_mut().poll(context) {
                return Poll::Ready(Ok(output));
            }
            if let Some(action) = self.connection.closed_for(context.waker()) {
                return Poll::Ready(Err(action));
            }
            self.poll_deadline(context).map(Err)
        })
        .await
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

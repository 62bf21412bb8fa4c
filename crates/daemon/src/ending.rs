//! The end of the process: all ports finish what has arrived, within a bound.

use std::time::Duration;

use entry::arrival::leaving_refusal;
use intake::intake::Intake;
use intake::stats::Action;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum time for callers to send the rest of their requests, and to read the ends of answers.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time after that for the refusals of requests that aren't complete to reach their callers.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time for the other ports to finish their answers; longer than a new connection is given for its first request.
const PORTS_TIMEOUT: Duration = Duration::from_millis(300);

/// Ports that finish their answers on shutdown.
pub struct Ports {
    end: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Ports {
    /// Creates an empty set.
    pub fn new() -> Ports {
        Ports {
            end: watch::Sender::new(false),
            tasks: JoinSet::new(),
        }
    }

    /// Starts a port, which ends after its shutdown signal turns true.
    pub fn start<F>(&mut self, serve: impl FnOnce(watch::Receiver<bool>) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.tasks.spawn_local(serve(self.end.subscribe()));
    }

    /// Asks all ports to finish.
    fn end(&self) {
        self.end.send_replace(true);
    }

    /// Waits for the ends of all ports; returns whether they have ended in time.
    async fn ended(&mut self, within: Duration) -> bool {
        let all = async { while self.tasks.join_next().await.is_some() {} };
        timeout(within, all).await.is_ok()
    }
}

impl Default for Ports {
    fn default() -> Ports {
        Ports::new()
    }
}

/// Ends the callers' port, then the others, which tell of the entry until then.
pub async fn end(mut callers: Ports, mut others: Ports, intake: &Intake) {
    callers.end();
    if !callers.ended(DRAIN_TIMEOUT).await {
        intake.refuse_bodies(leaving_refusal());
        callers.ended(REFUSAL_TIMEOUT).await;
    }
    others.end();
    others.ended(PORTS_TIMEOUT).await;
    log_end(intake);
}

/// Logs what a stopped process leaves unfinished.
fn log_end(intake: &Intake) {
    let (receiving, running) = intake.callers.count_requests();
    log::info!(
        event = "ended",
        receiving = receiving,
        running = running,
        unread_dropped = intake.stats.count(Action::UnreadDropped);
        ""
    );
}

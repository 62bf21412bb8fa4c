//! Ends attempts at replicas that are silent.

use std::future::Future;
use std::rc::Rc;

use clock::Span;
use clock::Time;
use gateway::attempt::End;
use gateway::effect::Start;
use smol_str::SmolStr;

use crate::reach;
use crate::shared::Shared;

/// Interval at which a request that awaits progress checks whether all servers are silent.
const CHECK_INTERVAL: Span = Span::from_millis(400);

/// The time for which an attempt has waited for progress of its answer.
pub struct Silence {
    /// Time waited in whole steps.
    waited: Span,
    /// Start of the current step.
    step_began_at: Time,
}

impl Silence {
    /// Starts to wait.
    pub fn new(now: Time) -> Silence {
        Silence {
            waited: Span::ZERO,
            step_began_at: now,
        }
    }

    /// Records that the answer made progress. Bytes alone aren't progress: a faulty replica may send some forever.
    pub fn record_progress(&mut self, now: Time) {
        *self = Silence::new(now);
    }

    /// Awaits something from a replica, but times out if the replica made no progress on any of its connections for the
    /// attempt's silence timeout.
    ///
    /// A replica that answers others is merely busy. Retrying elsewhere would prefill the prompt again and
    /// amplify an overload. Traffic on other connections says nothing about a plain call, which has a timeout of
    /// its own, nor about a silent way through another entry, `proxy`. A direct connection that is silent
    /// while this entry is isolated is given up at once.
    pub async fn limit<T>(
        &mut self,
        shared: &Rc<Shared>,
        start: &Start,
        proxy: Option<&SmolStr>,
        pending: impl Future<Output = T>,
    ) -> Result<T, End> {
        let mut pending = std::pin::pin!(pending);
        loop {
            let step = match start.silence_timeout {
                Some(limit) => CHECK_INTERVAL.min(limit - self.waited),
                None => CHECK_INTERVAL,
            };
            // A step counts no longer than it should take, so that an entry that was paused reads first what
            // arrived meanwhile.
            let elapsed = shared.clock.now().since(self.step_began_at).min(step);
            let left = (step - elapsed).as_duration();
            if let Ok(value) = tokio::time::timeout(left, pending.as_mut()).await {
                return Ok(value);
            }
            self.waited = self.waited + step;
            self.step_began_at = shared.clock.now();
            reach::check_silence(shared);
            let lost = proxy.is_none() && shared.reach.is_isolated();
            let has_timeout = start.silence_timeout.is_some();
            if lost && has_timeout && !shared.pool.was_active(&start.endpoint, step) {
                return Err(End::TimedOut {
                    waited: self.waited,
                });
            }
            let Some(limit) = start.silence_timeout.filter(|limit| self.waited >= *limit) else {
                continue;
            };
            let is_active = start.stream && shared.pool.was_active(&start.endpoint, limit);
            tokio::select! {
                biased;
                value = pending.as_mut() => return Ok(value),
                is_sound = reach::check_way(shared, &start.endpoint, proxy, limit, is_active) => {
                    if !is_active || !is_sound {
                        return Err(End::TimedOut { waited: limit });
                    }
                }
            }
            self.record_progress(shared.clock.now());
        }
    }
}

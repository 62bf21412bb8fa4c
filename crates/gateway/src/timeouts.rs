//! Deadlines of open requests.

use clock::Time;
use verdict::Reason;
use verdict::Refusal;

use crate::effect::Effect;
use crate::gateway::Gateway;

impl Gateway {
    /// Refuses every request whose deadline has passed.
    pub(crate) fn timeouts_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some((at, serial)) = self.timeouts.first().copied() {
            if at > now {
                return;
            }
            self.timeouts.remove(&(at, serial));
            let refusal = Refusal::not_run(Reason::TimedOut, "its time is up");
            self.cancel_and_refuse(now, serial, refusal, effects);
        }
    }
}

//! Deadlines of open requests.

use clock::Time;
use policy::job;
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
            self.time_out(now, serial, effects);
        }
    }

    /// Refuses one request whose deadline has passed.
    fn time_out(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let refusal = Refusal::not_run(Reason::TimedOut, "its time is up");
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.cancel(now, job::Id(serial), out);
        });
        self.refuse(now, serial, refusal, effects);
    }
}

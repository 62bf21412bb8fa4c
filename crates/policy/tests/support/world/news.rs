//! Digests that entries exchange.

use policy::scheduler::Digest;

use crate::support::world::Event;
use crate::support::world::World;

/// Interval between digests of an entry, in milliseconds.
const EXCHANGE_MS: u64 = 500;
/// Transit time of a digest, in milliseconds.
const NEWS_MS: u64 = 5;

impl World {
    /// Sends every entry's digest to all others.
    pub(super) fn exchange(&mut self) {
        for from in 0..self.entries.len() {
            self.tell(from);
        }
        self.after(EXCHANGE_MS, Event::Exchange);
    }

    pub(super) fn tell(&mut self, from: usize) {
        let now = self.now();
        if let Some(scheduler) = self.entries[from].scheduler() {
            let digest = scheduler.digest(now);
            self.after(NEWS_MS, Event::News(from, Box::new(digest)));
        }
    }

    pub(super) fn news(&mut self, from: usize, digest: &Digest) {
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            self.with(to, |policy, now, out| {
                if let Some(scheduler) = policy.scheduler() {
                    scheduler.absorb(now, from as u64, digest, out);
                }
            });
        }
    }
}

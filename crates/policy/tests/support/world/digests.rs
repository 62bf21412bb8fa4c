//! Digests that entries exchange.

use policy::scheduler::Digest;

use crate::support::world::Event;
use crate::support::world::World;

/// Interval between digests of an entry, in milliseconds.
const DIGEST_PERIOD_MS: u64 = 500;
/// Transit time of a digest, in milliseconds.
const DIGEST_TRANSIT_MS: u64 = 5;

impl World {
    /// Sends every entry's digest to all others.
    pub(super) fn send_digests(&mut self) {
        for sender in 0..self.entries.len() {
            self.send_digest(sender);
        }
        self.schedule_after(DIGEST_PERIOD_MS, Event::SendDigests);
    }

    pub(super) fn send_digest(&mut self, sender: usize) {
        if self.ended[sender] {
            return;
        }
        let now = self.now();
        if let Some(scheduler) = self.entries[sender].scheduler() {
            let digest = scheduler.digest(now);
            self.schedule_after(DIGEST_TRANSIT_MS, Event::Digest(sender, Box::new(digest)));
        }
    }

    pub(super) fn deliver_digest(&mut self, sender: usize, digest: &Digest) {
        for receiver in (0..self.entries.len()).filter(|receiver| *receiver != sender) {
            self.call_policy(receiver, |policy, now, out| {
                if let Some(scheduler) = policy.scheduler() {
                    scheduler.absorb(now, sender as u64, digest, out);
                }
            });
        }
    }
}

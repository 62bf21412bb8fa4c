//! Entries: their member lists, and entries that end.

use std::ops::Range;

use policy::rendezvous;
use rand::RngExt;

use crate::support::world::Event;
use crate::support::world::World;

/// Time until callers of an ended entry send their requests again, in milliseconds.
const RECONNECT_MS: u64 = 50;

impl World {
    /// Gives an entry the present list of members, as a deployment's membership does.
    pub(super) fn update_members(&mut self, entry: usize) {
        let live = (0..self.entries.len()).filter(|other| !self.ended[*other]);
        let members: Vec<u64> = live.map(identity).collect();
        self.call_policy(entry, |policy, _, _| {
            if let Some(scheduler) = policy.scheduler() {
                scheduler.set_entries(members.len() as u32);
                scheduler.set_members(identity(entry), members);
            }
        });
    }

    /// Ends entries with their attempts. Each other entry learns of it at a time of its own.
    pub(super) fn end_entries(&mut self, entries: Range<usize>, spread_ms: u64) {
        for entry in entries {
            self.end_entry(entry);
        }
        for entry in 0..self.entries.len() {
            let after_ms = self.members_random.random_range(0..=spread_ms);
            self.schedule_after(after_ms, Event::MembersChanged(entry));
        }
    }

    /// Returns the entry, or the next one that hasn't ended.
    pub(super) fn next_live_entry(&self, entry: usize) -> usize {
        let count = self.entries.len();
        let mut candidates = (0..count).map(|step| (entry + step) % count);
        candidates
            .find(|candidate| !self.ended[*candidate])
            .unwrap_or(entry)
    }

    fn end_entry(&mut self, entry: usize) {
        self.ended[entry] = true;
        let here = self.submissions.iter();
        let here = here.filter(|(_, submission)| submission.entry == entry);
        let ids: Vec<_> = here.map(|(id, _)| *id).collect();
        for id in ids {
            // The replicas notice the closed connection and stop.
            for engine in &mut self.engines {
                let removed = engine.remove(entry, id);
                self.tally.wasted += removed.map_or(0, |sequence| sequence.computed);
            }
            if let Some(submission) = self.close_submission(id) {
                self.retry_after(RECONNECT_MS, submission.request);
            }
        }
    }
}

fn identity(entry: usize) -> u64 {
    rendezvous::identity(&format!("e{entry}"))
}

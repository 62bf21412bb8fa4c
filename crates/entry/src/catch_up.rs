//! After a pause: no new work leaves before the platform's notices were read again.
//!
//! Guards against work for a server whose end was announced while this process stood still. It shows
//! as a start long after the notice: the paused entry runs on with what it knew before. The guard
//! holds because the process's own clock shows the gap, and starts are deferred back until notices came
//! twice, the first of which may have been on its way before the pause. It gives up after a short
//! time, so that a platform that doesn't answer stops no requests.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use policy::job;
use policy::replica;

use crate::effect::Effect;
use crate::entry::Entry;
use crate::line::Line;

/// A step that follows the last after a longer gap means that the process stood still.
const MAX_STEP_GAP: Span = Span::from_seconds(2);

/// Longest time that starts are deferred back.
const MAX_START_DELAY: Span = Span::from_seconds(2);

/// Readings of the notices after which starts go on.
const REQUIRED_READS: u32 = 2;

/// What a pause has left to do.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    last_step: Time,
    /// Set while starts are deferred back.
    deferred_until: Option<Time>,
    notice_reads: u32,
    deferred: BTreeMap<job::Id, replica::Key>,
}

impl CatchUp {
    /// Keeps a start back, if a pause is not caught up with yet; gives whether it did.
    pub fn defer(&mut self, job: job::Id, replica: replica::Key) -> bool {
        if self.deferred_until.is_some() {
            self.deferred.insert(job, replica);
        }
        self.deferred_until.is_some()
    }

    /// Sends a deferred start elsewhere; gives whether there is one.
    pub fn redirect(&mut self, job: job::Id, replica: replica::Key) -> bool {
        let deferred = self.deferred.get_mut(&job);
        deferred.map(|deferred| *deferred = replica).is_some()
    }

    /// Forgets a deferred start.
    pub fn forget(&mut self, job: job::Id) {
        self.deferred.remove(&job);
    }
}

impl Entry {
    /// Looks at the time that has passed since the last step.
    pub(crate) fn detect_pause(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let gap = now.since(self.catch_up.last_step);
        self.catch_up.last_step = now;
        if gap <= MAX_STEP_GAP {
            return;
        }
        let line = Line::warn("paused").with("gap_ms", gap.as_millis());
        effects.push(Effect::Log(line));
        self.catch_up.deferred_until = Some(now + MAX_START_DELAY);
        self.catch_up.notice_reads = 0;
    }

    /// The notices were read once more.
    pub(crate) fn notices_refreshed(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.catch_up.notice_reads += 1;
        if self.catch_up.notice_reads >= REQUIRED_READS {
            self.release_starts(now, effects);
        }
    }

    /// Gives up waiting for notices when it takes too long.
    pub(crate) fn catch_up_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self
            .catch_up
            .deferred_until
            .is_some_and(|until| until <= now)
        {
            self.release_starts(now, effects);
        }
    }

    /// Lets the deferred starts go.
    fn release_starts(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.catch_up.deferred_until = None;
        for (job, replica) in std::mem::take(&mut self.catch_up.deferred) {
            self.start_attempt(now, job, replica, effects);
        }
    }
}

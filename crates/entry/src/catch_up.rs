//! Defers starts after a pause of the process until the platform's notices were read again.
//!
//! Guards against dispatching to a server whose reclaim was announced while this process was paused:
//! the resumed entry would act on stale state. The process's own clock shows the gap. Starts are
//! deferred until notices were read twice, since the first reading may have been in flight before the
//! pause. The deferral times out, so that an unresponsive platform doesn't block requests.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use policy::job;
use policy::replica;

use crate::effect::Effect;
use crate::entry::Entry;
use crate::line::Line;

/// Maximum time between two steps; a longer gap means that the process was paused.
const MAX_STEP_GAP: Span = Span::from_seconds(2);

/// Maximum time that starts are deferred.
const MAX_START_DELAY: Span = Span::from_seconds(2);

/// Number of notice readings after which deferred starts are released.
const REQUIRED_READS: u32 = 2;

/// State of catching up after a pause.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    last_step: Time,
    /// Set while starts are deferred.
    deferred_until: Option<Time>,
    notice_reads: u32,
    deferred: BTreeMap<job::Id, replica::Key>,
}

impl CatchUp {
    /// Defers a start if the entry is catching up; returns whether it did.
    pub fn defer(&mut self, job: job::Id, replica: replica::Key) -> bool {
        if self.deferred_until.is_some() {
            self.deferred.insert(job, replica);
        }
        self.deferred_until.is_some()
    }

    /// Changes the replica of a deferred start; returns whether there is one.
    pub fn redirect(&mut self, job: job::Id, replica: replica::Key) -> bool {
        let deferred = self.deferred.get_mut(&job);
        deferred.map(|deferred| *deferred = replica).is_some()
    }

    /// Drops a deferred start.
    pub fn forget(&mut self, job: job::Id) {
        self.deferred.remove(&job);
    }
}

impl Entry {
    /// Detects a pause by the time since the last step.
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

    /// Counts a reading of the notices.
    pub(crate) fn notices_refreshed(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.catch_up.notice_reads += 1;
        if self.catch_up.notice_reads >= REQUIRED_READS {
            self.release_starts(now, effects);
        }
    }

    /// Releases deferred starts after the timeout.
    pub(crate) fn catch_up_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self
            .catch_up
            .deferred_until
            .is_some_and(|until| until <= now)
        {
            self.release_starts(now, effects);
        }
    }

    /// Releases all deferred starts.
    fn release_starts(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.catch_up.deferred_until = None;
        for (job, replica) in std::mem::take(&mut self.catch_up.deferred) {
            self.start_attempt(now, job, replica, effects);
        }
    }
}

//! After a pause: no new work leaves before the platform's notices were read again.
//!
//! Guards against work for a server whose end was announced while this process stood still. It shows
//! as a start long after the notice: the paused entry runs on with what it knew before. The guard
//! holds because the process's own clock shows the gap, and starts are kept back until notices came
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
const LONGEST_GAP: Span = Span::from_seconds(2);

/// Longest time that starts are kept back.
const LONGEST_WAIT: Span = Span::from_seconds(2);

/// Readings of the notices after which starts go on.
const READINGS: u32 = 2;

/// What a pause has left to do.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    last_step: Time,
    /// Set while starts are kept back.
    until: Option<Time>,
    readings: u32,
    kept: BTreeMap<job::Id, replica::Key>,
}

impl CatchUp {
    /// Keeps a start back, if a pause is not caught up with yet; gives whether it did.
    pub fn keep(&mut self, job: job::Id, replica: replica::Key) -> bool {
        if self.until.is_some() {
            self.kept.insert(job, replica);
        }
        self.until.is_some()
    }

    /// Sends a kept start elsewhere; gives whether there is one.
    pub fn redirect(&mut self, job: job::Id, replica: replica::Key) -> bool {
        let kept = self.kept.get_mut(&job);
        kept.map(|kept| *kept = replica).is_some()
    }

    /// Forgets a kept start.
    pub fn forget(&mut self, job: job::Id) {
        self.kept.remove(&job);
    }
}

impl Entry {
    /// Looks at the time that has passed since the last step.
    pub(crate) fn note_gap(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let gap = now.since(self.catch_up.last_step);
        self.catch_up.last_step = now;
        if gap <= LONGEST_GAP {
            return;
        }
        let line = Line::warn("paused").with("gap_ms", gap.as_millis());
        effects.push(Effect::Log(line));
        self.catch_up.until = Some(now + LONGEST_WAIT);
        self.catch_up.readings = 0;
    }

    /// The notices were read once more.
    pub(crate) fn caught_notices(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.catch_up.readings += 1;
        if self.catch_up.readings >= READINGS {
            self.caught_up(now, effects);
        }
    }

    /// Gives up waiting for notices when it takes too long.
    pub(crate) fn catch_up_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.catch_up.until.is_some_and(|until| until <= now) {
            self.caught_up(now, effects);
        }
    }

    /// Lets the kept starts go.
    fn caught_up(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.catch_up.until = None;
        for (job, replica) in std::mem::take(&mut self.catch_up.kept) {
            self.start(now, job, replica, effects);
        }
    }
}

//! What backend servers state about themselves in their answers.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use line::Line;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// What an answer states about the server that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Time for which the server accepts no request from this entry, if it asked for a pause.
    pub pause: Option<Span>,
}

impl Notice {
    /// Returns whether the answer states nothing.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}

/// Pauses that servers asked for.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    /// End of each pause, by incarnation.
    ends: BTreeMap<SmolStr, Time>,
}

impl Pauses {
    /// Returns the number of servers that pause.
    pub fn active_count(&self, now: Time) -> usize {
        self.ends.values().filter(|end| now < **end).count()
    }

    /// Starts or extends a pause, and drops those that are over.
    fn extend(&mut self, now: Time, incarnation: &SmolStr, pause: Span) {
        self.ends.retain(|_, end| now < *end);
        let end = self.ends.entry(incarnation.clone()).or_default();
        *end = (now + pause).max(*end);
    }

    /// Returns how long a server's pause still lasts.
    fn remaining(&self, now: Time, incarnation: &str) -> Span {
        let end = self.ends.get(incarnation).copied();
        end.unwrap_or_default().since(now)
    }
}

impl Gateway {
    /// Handles the notice in a server's answer to this entry.
    pub(crate) fn handle_notice(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        notice: Notice,
        effects: &mut Vec<Effect>,
    ) {
        if notice.leaving {
            self.handle_announced_leave(now, incarnation, effects);
        }
        if let Some(pause) = notice.pause {
            self.start_pause(now, incarnation, pause, effects);
        }
    }

    /// Starts or extends the pause that a server asked for.
    fn start_pause(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        pause: Span,
        effects: &mut Vec<Effect>,
    ) {
        let line = Line::info("server_paused")
            .with("replica", incarnation)
            .with("pause_ms", pause.as_millis());
        effects.push(Effect::Log(line));
        effects.push(Effect::PauseServer {
            incarnation: incarnation.clone(),
            pause,
        });
        self.pauses.extend(now, incarnation, pause);
        self.apply_pause(now, incarnation, effects);
    }

    /// Passes a server's pause to the scheduler. The pause outlasts the replica, which is replaced when the
    /// server's row lapses for a moment or the server joins another pool.
    pub(crate) fn apply_pause(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        effects: &mut Vec<Effect>,
    ) {
        let pause = self.pauses.remaining(now, incarnation);
        let known = self.servers.get_mut(incarnation).map(|known| known.key);
        let Some(key) = known.filter(|_| pause > Span::ZERO) else {
            return;
        };
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.replica_paused(now, key, pause, out);
        });
    }
}

//! What backend servers state about themselves in their answers.

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
            let line = Line::info("server_paused")
                .with("replica", incarnation)
                .with("pause_ms", pause.as_millis());
            effects.push(Effect::Log(line));
        }
    }
}

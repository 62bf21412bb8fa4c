//! Entries that reach no backend server.

use clock::Time;
use line::Line;

use crate::effect::Effect;
use crate::gateway::Gateway;

impl Gateway {
    /// Records that this entry lost all backend servers, or reaches some again.
    pub(crate) fn handle_isolation_change(
        &mut self,
        now: Time,
        isolated: bool,
        unreachable: usize,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.isolated_since.take();
        self.isolated_since = isolated.then(|| before.unwrap_or(now));
        let line = match isolated {
            true => Line::warn("servers_unreachable").with("failed", unreachable),
            false => Line::info("servers_reachable")
                .with("after_ms", now.since(before.unwrap_or(now)).as_millis()),
        };
        effects.push(Effect::Log(line.with("known", self.servers.count())));
    }
}

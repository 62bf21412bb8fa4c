//! Entries that reach no backend server, and those through which they reach them.

use std::cmp::Reverse;

use clock::Time;
use line::Line;
use member::event::Event as MemberEvent;
use policy::proxy::Candidate;
use policy::rendezvous;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// Most entries through which servers are reached. More would only cost connections between entries.
const MAX_PROXIES: usize = 16;

impl Gateway {
    /// Records that this entry lost all backend servers, or reaches some again, and announces it.
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
        let line = line
            .with("known", self.servers.count())
            .with("proxies", self.proxies.len());
        effects.push(Effect::Log(line));
        self.step_membership(now, MemberEvent::ServersLost(isolated), effects);
    }

    /// Selects the entries through which this one reaches servers that it can't reach itself.
    ///
    /// Entries rank them differently, so that those that are cut off together share all others.
    pub(crate) fn select_proxies(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let quiet = self.failure_timeout();
        let me = self.identity.incarnation.0;
        let members = self.membership.peers();
        let mut usable: Vec<_> = members
            .filter(|(_, known)| known.is_usable(now, quiet) && !known.beat.servers_lost)
            .collect();
        usable.sort_by_cached_key(|(id, _)| Reverse(rendezvous::weight(me, id.0)));
        let selected = usable.into_iter().take(MAX_PROXIES);
        let proxies: Vec<Candidate> = selected
            .map(|(_, known)| Candidate {
                address: known.record.row.peer_address.clone(),
                capacity: known.capacity(),
            })
            .collect();
        if proxies != self.proxies {
            self.proxies = proxies.clone();
            effects.push(Effect::Proxies(proxies));
        }
    }
}

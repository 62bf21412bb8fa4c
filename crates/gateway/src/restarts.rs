//! Servers that were restarted, or may have been, since the list of servers was last confirmed.
//!
//! A server may come back under its id and address at another software version. The list shows it, unless the table
//! service is away or the new row is late. A server counts as another process until its row arrives if it says so, or if it
//! failed a connection while the table service is away. A stream whose version is fixed doesn't go on there; other requests
//! do, but last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Time;
use policy::replica;
use smol_str::SmolStr;

use crate::attempt::End;
use crate::effect::Effect;
use crate::gateway::Gateway;

/// Times at which servers, by incarnation, failed a connection while the list couldn't be read.
#[derive(Debug, Default)]
pub(crate) struct Restarts {
    failed_at: BTreeMap<SmolStr, Time>,
    /// Incarnations in whose place another process answers.
    replaced: BTreeSet<SmolStr>,
}

impl Gateway {
    /// Records that a server was replaced, or that it failed a connection and the list wouldn't tell of its restart.
    pub(crate) fn record_failed_connection(
        &mut self,
        now: Time,
        server: replica::Key,
        end: &End,
        effects: &mut Vec<Effect>,
    ) {
        let Some(incarnation) = self.servers.incarnation_of(server) else {
            return;
        };
        let failed = matches!(end, End::NotSent | End::Broken { alive: false });
        if *end == End::Replaced {
            self.restarts.replaced.insert(incarnation);
        } else if failed && self.is_list_outdated() {
            self.restarts.failed_at.insert(incarnation, now);
        } else {
            return;
        }
        self.set_doubted(now, server, true, effects);
    }

    /// Returns whether a server may be another process than the one in the list.
    pub(crate) fn may_have_restarted(&self, server: replica::Key) -> bool {
        let Some(incarnation) = self.servers.incarnation_of(server) else {
            return false;
        };
        let failed_at = self.restarts.failed_at.get(&incarnation);
        let has_failed = failed_at.is_some_and(|at| *at > self.servers.position().as_of);
        has_failed || self.restarts.replaced.contains(&incarnation)
    }

    /// Returns whether a request may reach only the listed process of its replica: its stream may go on elsewhere, at the
    /// version that is listed.
    pub(crate) fn is_bound_to_process(&self, serial: u64) -> bool {
        let open = self.requests.get(&serial);
        open.is_some_and(|open| open.repeat.is_resumable())
    }

    /// Trusts servers again once the list is newer than their failures, and forgets replaced ones with their rows.
    pub(crate) fn restarts_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let servers = &self.servers;
        let replaced = &mut self.restarts.replaced;
        replaced.retain(|incarnation| servers.key_of(incarnation).is_some());
        let as_of = self.servers.position().as_of;
        let confirmed = self.restarts.failed_at.extract_if(.., |_, at| *at <= as_of);
        let confirmed: Vec<SmolStr> = confirmed.map(|(incarnation, _)| incarnation).collect();
        for incarnation in confirmed {
            let is_missing = self.servers.missing_since(&incarnation).is_some();
            let is_replaced = self.restarts.replaced.contains(&incarnation);
            let is_trusted = !is_missing && !is_replaced;
            if let Some(key) = self.servers.key_of(&incarnation).filter(|_| is_trusted) {
                self.set_doubted(now, key, false, effects);
            }
        }
    }
}

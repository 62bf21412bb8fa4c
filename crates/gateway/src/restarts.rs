//! Servers that may have been restarted since the list of servers was last confirmed.
//!
//! A server may come back under its id and address at another software version. The list shows it, unless the table
//! service is away. Then a server that failed a connection and takes one later may be another process, and a stream whose
//! version is fixed doesn't go on there. Other requests do, but last.

use std::collections::BTreeMap;

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
}

impl Gateway {
    /// Records that a server failed a connection, if it did and the list wouldn't tell of its restart.
    pub(crate) fn record_failed_connection(
        &mut self,
        now: Time,
        server: replica::Key,
        end: &End,
        effects: &mut Vec<Effect>,
    ) {
        let failed = matches!(end, End::NotSent | End::Broken { alive: false });
        if !failed || !self.is_list_outdated() {
            return;
        }
        let Some(incarnation) = self.servers.incarnation_of(server) else {
            return;
        };
        self.restarts.failed_at.insert(incarnation, now);
        self.set_doubted(now, server, true, effects);
    }

    /// Returns whether a server may be another process than the one in the list.
    pub(crate) fn may_have_restarted(&self, server: replica::Key) -> bool {
        let incarnation = self.servers.incarnation_of(server);
        let failed_at = incarnation.and_then(|known| self.restarts.failed_at.get(&known));
        failed_at.is_some_and(|at| *at > self.servers.position().confirmed_at)
    }

    /// Trusts servers again once the list is confirmed.
    pub(crate) fn restarts_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let confirmed_at = self.servers.position().confirmed_at;
        let confirmed = self
            .restarts
            .failed_at
            .extract_if(.., |_, at| *at <= confirmed_at);
        let confirmed: Vec<SmolStr> = confirmed.map(|(incarnation, _)| incarnation).collect();
        for incarnation in confirmed {
            let is_missing = self.servers.missing_since(&incarnation).is_some();
            if let Some(key) = self.servers.key_of(&incarnation).filter(|_| !is_missing) {
                self.set_doubted(now, key, false, effects);
            }
        }
    }
}

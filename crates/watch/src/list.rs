//! The list of backend servers, with the revision at which each row is known.

use std::collections::BTreeMap;

use clock::Span;
use policy::rendezvous;
use smol_str::SmolStr;

use crate::report::Change;
use crate::report::State;
use crate::server::News;
use crate::server::Reading;
use crate::server::Server;

/// Most ended rows that are remembered, so that older news doesn't bring them back.
const ENDED_KEPT: usize = 4_096;

/// All rows.
#[derive(Clone, Debug, Default)]
pub struct List {
    rows: BTreeMap<SmolStr, Row>,
    /// Rows that ended, and at which revision.
    ended: BTreeMap<SmolStr, u64>,
    /// Invariant: over all rows, the exclusive or of their hashes.
    digest: u64,
    /// The newest revision at which a row changed.
    changed: u64,
}

/// One row.
#[derive(Clone, Debug)]
struct Row {
    server: Server,
    /// The revision by which it is known to say so.
    at: u64,
}

impl List {
    /// Digest of all rows: equal for equal lists, whatever way their entries learned of them.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The newest revision at which a row changed.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// What a row says.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.rows.get(id).map(|row| &row.server)
    }

    /// Takes in what the table service says; what of it is new.
    pub fn read(&mut self, reading: &Reading) -> Vec<Change> {
        let at = reading.revision;
        let told: Vec<Change> = match &reading.news {
            News::All(servers) => {
                let written = servers.iter().map(|server| written(server, at));
                let absent = self.absent(servers);
                written.chain(absent.map(|id| ended(id, at))).collect()
            }
            News::Changes {
                written: servers,
                removed,
            } => {
                // A row that one answer names as written and as ended has ended.
                let stays = |server: &&Server| removed.iter().all(|row| row.id != server.id);
                let servers = servers.iter().filter(stays);
                let servers = servers.map(|server| written(server, at));
                let removed = removed
                    .iter()
                    .map(|row| ended(row.id.clone(), row.revision));
                servers.chain(removed).collect()
            }
        };
        let mut news = Vec::new();
        for change in told {
            let leaving = self.is_only_leaving(&change);
            if self.take(&change) {
                news.push(leaving.unwrap_or(change));
            }
        }
        news
    }

    /// Of an answer that was taken in, what holds by now.
    pub fn up_to_date(&self, news: &News) -> News {
        let current = |server: &&Server| {
            self.get(&server.id)
                .is_some_and(|known| same(known, server))
        };
        match news {
            News::All(_) => News::All(self.rows.values().map(|row| row.server.clone()).collect()),
            News::Changes { written, removed } => News::Changes {
                written: written.iter().filter(current).cloned().collect(),
                removed: removed
                    .iter()
                    .filter(|row| self.get(&row.id).is_none())
                    .cloned()
                    .collect(),
            },
        }
    }

    /// Takes in a change; whether it is new here.
    pub fn take(&mut self, change: &Change) -> bool {
        let known = self.rows.get(&change.id).map(|row| row.at);
        let last = known.max(self.ended.get(&change.id).copied());
        if last.is_some_and(|last| last >= change.at) {
            return false;
        }
        let server = match &change.now {
            State::Ended => return self.end(change),
            State::Written(server) => server.clone(),
            State::Leaving { in_ms } => {
                let Some(row) = self.rows.get(&change.id) else {
                    return false;
                };
                Server {
                    leaving: true,
                    leaves_in: in_ms.map(Span::from_millis),
                    ..row.server.clone()
                }
            }
        };
        self.write(change, server)
    }

    fn write(&mut self, change: &Change, server: Server) -> bool {
        let hash = hash_of(&server);
        let row = Row {
            server,
            at: change.at,
        };
        let before = self.rows.insert(change.id.clone(), row);
        let before = before.map_or(0, |row| hash_of(&row.server));
        self.ended.remove(&change.id);
        self.digest ^= before ^ hash;
        if before != hash {
            self.changed = self.changed.max(change.at);
        }
        before != hash
    }

    fn end(&mut self, change: &Change) -> bool {
        self.ended.insert(change.id.clone(), change.at);
        if self.ended.len() > ENDED_KEPT {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.ended.remove(&oldest);
            }
        }
        let Some(row) = self.rows.remove(&change.id) else {
            return false;
        };
        self.digest ^= hash_of(&row.server);
        self.changed = self.changed.max(change.at);
        true
    }

    /// Rows that aren't among these servers.
    fn absent(&self, servers: &[Server]) -> impl Iterator<Item = SmolStr> {
        let named: std::collections::BTreeSet<&SmolStr> =
            servers.iter().map(|server| &server.id).collect();
        let absent = self.rows.keys().filter(|id| !named.contains(id));
        absent.cloned().collect::<Vec<_>>().into_iter()
    }

    /// The shorter form of a change that says only that a known server leaves.
    fn is_only_leaving(&self, change: &Change) -> Option<Change> {
        let State::Written(server) = &change.now else {
            return None;
        };
        let row = self.rows.get(&change.id)?;
        let same = Server {
            leaving: row.server.leaving,
            leaves_in: row.server.leaves_in,
            ..server.clone()
        } == row.server;
        (same && server.leaving).then(|| Change {
            now: State::Leaving {
                in_ms: server.leaves_in.map(Span::as_millis),
            },
            ..change.clone()
        })
    }
}

fn written(server: &Server, at: u64) -> Change {
    Change {
        id: server.id.clone(),
        at,
        now: State::Written(server.clone()),
    }
}

fn ended(id: SmolStr, at: u64) -> Change {
    Change {
        id,
        at,
        now: State::Ended,
    }
}

/// Whether two rows say the same, but for the time that is left.
fn same(one: &Server, other: &Server) -> bool {
    hash_of(one) == hash_of(other)
}

/// Hash of what a row says; the time that is left to a server falls with each heartbeat and doesn't count.
fn hash_of(server: &Server) -> u64 {
    let texts = [
        &server.incarnation,
        &server.id,
        &server.service,
        &server.address,
        &server.zone,
    ];
    let flags = u64::from(server.leaving) | u64::from(server.reclaimable) << 1;
    let mut hash = rendezvous::weight(u64::from(server.slots), flags);
    for text in texts {
        hash = rendezvous::weight(hash, rendezvous::identity(text));
    }
    hash
}

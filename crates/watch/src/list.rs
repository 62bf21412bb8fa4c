//! The list of backend servers, each row with the revision that wrote it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use policy::rendezvous;
use smol_str::SmolStr;
use store::revision::Revision;

use crate::report::Change;
use crate::report::State;
use crate::server::Reading;
use crate::server::Server;
use crate::server::Update;

/// All rows, with a digest over them.
#[derive(Clone, Debug, Default)]
pub struct List {
    rows: BTreeMap<SmolStr, Server>,
    /// Revisions at which rows ended. Invariant: each is newer than `complete_revision`.
    ended: BTreeMap<SmolStr, u64>,
    /// All changes up to this revision have been applied: an older row that is absent here has ended.
    complete_revision: u64,
    /// Invariant: the exclusive or of all rows' hashes.
    digest: u64,
    /// The newest revision at which a row changed.
    changed_revision: u64,
}

impl List {
    /// Returns the digest of all rows. Equal lists have equal digests, in whatever order changes were
    /// applied.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the newest revision at which a row changed.
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Returns a server's row.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.rows.get(id)
    }

    /// Applies an answer of the table service and returns the changes that are new.
    pub fn apply_reading(&mut self, reading: &Reading) -> Vec<Change> {
        let changes = self.apply(self.changes_of(reading));
        self.mark_complete(reading.revision);
        changes
    }

    /// Converts an answer to changes of rows.
    fn changes_of(&self, reading: &Reading) -> Vec<Change> {
        match &reading.update {
            Update::All(servers) if self.is_restored(reading) => self.known_leaving(servers),
            Update::All(servers) => {
                let absent = self.absent_ids(servers);
                let ended = absent.map(|id| Change::ended(id.clone(), reading.revision));
                servers.iter().map(Change::written).chain(ended).collect()
            }
            Update::Changes { written, removed } => {
                let ended = removed
                    .iter()
                    .map(|row| Change::ended(row.id.clone(), row.revision));
                written.iter().map(Change::written).chain(ended).collect()
            }
        }
    }

    /// Returns whether the table service was restored from a backup since the last reading.
    fn is_restored(&self, reading: &Reading) -> bool {
        self.complete_revision > 0
            && Revision::is_of_older_era(self.complete_revision, reading.revision)
    }

    /// Returns the changes to accept from rows restored from a backup: only that a known server is leaving.
    ///
    /// Guards against servers that ended or began to leave after the backup was made: they would receive
    /// requests again. Live servers rewrite their rows with the next heartbeat.
    fn known_leaving(&self, servers: &[Server]) -> Vec<Change> {
        let leaving = servers.iter().filter(|server| server.leaving);
        let known = leaving.filter(|server| {
            let row = self.get(&server.id);
            row.is_some_and(|row| row.incarnation == server.incarnation)
        });
        known.map(Change::written).collect()
    }

    /// Returns the ids of rows that are missing among these servers.
    fn absent_ids(&self, servers: &[Server]) -> impl Iterator<Item = &SmolStr> {
        let named: BTreeSet<&SmolStr> = servers.iter().map(|server| &server.id).collect();
        self.rows.keys().filter(move |id| !named.contains(id))
    }

    /// Returns the part of an applied update that still matches the list.
    pub fn current_part(&self, update: &Update) -> Update {
        match update {
            Update::All(_) => Update::All(self.rows.values().cloned().collect()),
            Update::Changes { written, removed } => Update::Changes {
                written: written
                    .iter()
                    .filter(|server| self.is_current(server))
                    .cloned()
                    .collect(),
                removed: removed
                    .iter()
                    .filter(|row| self.get(&row.id).is_none())
                    .cloned()
                    .collect(),
            },
        }
    }

    /// Returns whether a row is unchanged apart from its revision and its server's remaining time.
    fn is_current(&self, server: &Server) -> bool {
        let known = self.get(&server.id);
        known.is_some_and(|known| hash_of(known) == hash_of(server))
    }

    /// Records that all changes up to a revision have been applied.
    pub fn mark_complete(&mut self, revision: u64) {
        self.complete_revision = self.complete_revision.max(revision);
        let complete = self.complete_revision;
        self.ended.retain(|_, ended| *ended > complete);
    }

    /// Applies changes and returns those that were new, in order of revision.
    ///
    /// Newest first, so that an outdated state of a row is never applied in between.
    pub fn apply(&mut self, mut changes: Vec<Change>) -> Vec<Change> {
        changes.sort_by_key(|change| Reverse(change.at));
        changes.retain(|change| self.apply_one(change));
        changes.reverse();
        changes
    }

    fn apply_one(&mut self, change: &Change) -> bool {
        if self.is_outdated(change) {
            return false;
        }
        match &change.now {
            State::Ended => self.remove(change),
            State::Written(server) => self.insert(Server {
                revision: change.at,
                ..server.clone()
            }),
        }
    }

    /// Returns whether the known state of the row is at least as new.
    fn is_outdated(&self, change: &Change) -> bool {
        if let Some(known) = self.rows.get(&change.id) {
            return known.revision >= change.at;
        }
        let ended = self.ended.get(&change.id).copied();
        ended.unwrap_or(0).max(self.complete_revision) >= change.at
    }

    fn insert(&mut self, server: Server) -> bool {
        let revision = server.revision;
        let hash = hash_of(&server);
        self.ended.remove(&server.id);
        let before = self.rows.insert(server.id.clone(), server);
        let before = before.map_or(0, |server| hash_of(&server));
        if before == hash {
            return false;
        }
        self.digest ^= before ^ hash;
        self.changed_revision = self.changed_revision.max(revision);
        true
    }

    fn remove(&mut self, change: &Change) -> bool {
        if change.at > self.complete_revision {
            self.ended.insert(change.id.clone(), change.at);
        }
        let Some(server) = self.rows.remove(&change.id) else {
            return false;
        };
        self.digest ^= hash_of(&server);
        self.changed_revision = self.changed_revision.max(change.at);
        true
    }
}

/// Returns the hash of a row without its revision and its server's remaining time, which change with each
/// heartbeat.
fn hash_of(server: &Server) -> u64 {
    let texts = [
        &server.incarnation,
        &server.id,
        &server.service,
        &server.address,
        &server.zone,
        &server.version,
    ];
    let flags = u64::from(server.leaving) | u64::from(server.reclaimable) << 1;
    let mut hash = rendezvous::weight(u64::from(server.slots), flags);
    for text in texts {
        hash = rendezvous::weight(hash, rendezvous::identity(text));
    }
    hash
}

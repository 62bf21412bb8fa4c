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

/// All rows.
#[derive(Clone, Debug, Default)]
pub struct List {
    rows: BTreeMap<SmolStr, Server>,
    /// Rows that ended, and at which revision. Invariant: each is newer than `complete`.
    ended: BTreeMap<SmolStr, u64>,
    /// Every change up to this revision is taken in: an older row that isn't here has ended.
    complete_revision: u64,
    /// Invariant: over all rows, the exclusive or of their hashes.
    digest: u64,
    /// The newest revision at which a row changed.
    changed_revision: u64,
}

impl List {
    /// Digest of all rows: equal for equal lists, whatever way their entries learned of them.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The newest revision at which a row changed.
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// What a row says.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.rows.get(id)
    }

    /// Takes in what the table service says; what of it is new.
    pub fn apply_reading(&mut self, reading: &Reading) -> Vec<Change> {
        let changes = self.apply(self.changes_of(reading));
        self.mark_complete(reading.revision);
        changes
    }

    /// What an answer says, row by row.
    fn changes_of(&self, reading: &Reading) -> Vec<Change> {
        match &reading.update {
            Update::All(servers) if self.is_restored(reading) => self.known_leaving(servers),
            Update::All(servers) => {
                let absent = self.absent(servers);
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

    /// Whether the service came back from a copy since the list was read last.
    fn is_restored(&self, reading: &Reading) -> bool {
        self.complete_revision > 0
            && Revision::is_of_older_era(self.complete_revision, reading.revision)
    }

    /// Of rows that were restored from a copy, what is believed before their servers write them again: that one leaves.
    ///
    /// Guards against servers that are gone or have said that they leave since the copy was made: they would be handed
    /// requests again. Live ones write their rows again with the next heartbeat.
    fn known_leaving(&self, servers: &[Server]) -> Vec<Change> {
        let leaving = servers.iter().filter(|server| server.leaving);
        let known = leaving.filter(|server| {
            let row = self.get(&server.id);
            row.is_some_and(|row| row.incarnation == server.incarnation)
        });
        known.map(Change::written).collect()
    }

    /// Rows that aren't among these servers.
    fn absent(&self, servers: &[Server]) -> impl Iterator<Item = &SmolStr> {
        let named: BTreeSet<&SmolStr> = servers.iter().map(|server| &server.id).collect();
        self.rows.keys().filter(move |id| !named.contains(id))
    }

    /// Of an answer that was taken in, what holds by now.
    pub fn up_to_date(&self, update: &Update) -> Update {
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

    /// Whether a row still says the same, but for the time that is left to its server.
    fn is_current(&self, server: &Server) -> bool {
        let known = self.get(&server.id);
        known.is_some_and(|known| hash_of(known) == hash_of(server))
    }

    /// Notes that every change up to a revision is taken in.
    pub fn mark_complete(&mut self, revision: u64) {
        self.complete_revision = self.complete_revision.max(revision);
        let complete = self.complete_revision;
        self.ended.retain(|_, ended| *ended > complete);
    }

    /// Takes in changes; those that are new here, in the order of their revisions.
    ///
    /// The newest of a row comes first, so that an older one among them is never in force.
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
            State::Ended => self.end(change),
            State::Written(server) => self.write(Server {
                revision: change.at,
                ..server.clone()
            }),
        }
    }

    /// Whether what is known of the row is as new.
    fn is_outdated(&self, change: &Change) -> bool {
        if let Some(known) = self.rows.get(&change.id) {
            return known.revision >= change.at;
        }
        let ended = self.ended.get(&change.id).copied();
        ended.unwrap_or(0).max(self.complete_revision) >= change.at
    }

    fn write(&mut self, server: Server) -> bool {
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

    fn end(&mut self, change: &Change) -> bool {
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

/// Hash of what a row says; its revision and the time that is left to its server change with each heartbeat and don't
/// count.
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

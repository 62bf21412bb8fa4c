//! Backend servers by incarnation, with their state: present, leaving or missing.
//!
//! Leaving is sticky: an outdated row that arrives late would otherwise restore a server that is about to
//! end, and requests sent there would be cut off. A missing row means that the server is gone, except for
//! some time after an outage of the table service, in which leases of live servers lapse.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use policy::rendezvous;
use policy::replica;
use policy::version;
use smol_str::SmolStr;
use store::revision::Revision;

use crate::attempt::Endpoint;
use watch::server::Server;

/// Limit on remembered leaving incarnations; the oldest are evicted. A day of a large deployment has some
/// thousand.
const MAX_LEAVING_INCARNATIONS: usize = 16_384;

/// All servers known to this entry.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    by_incarnation: BTreeMap<SmolStr, Record>,
    by_key: BTreeMap<replica::Key, SmolStr>,
    /// Known incarnations by their hash, by which entries refer to them.
    by_identity: BTreeMap<u64, SmolStr>,
    /// Incarnations that are leaving or have left.
    leaving: BTreeSet<SmolStr>,
    /// The same, ordered from the oldest.
    leaving_order: VecDeque<SmolStr>,
    /// Until when missing rows are distrusted after a gap in this entry's reads.
    distrusted_until: Time,
    /// Until when missing rows are distrusted according to the readers of the list.
    peer_distrusted_until: Time,
    /// How far the list is known.
    position: Position,
    /// When the table service was last found to be restored from an older copy.
    restored_at: Option<Time>,
    /// Rows that peers reported as removed, with the revision. Invariant: each revision is newer than our
    /// position, at which the list may still contain the server.
    ended: BTreeMap<SmolStr, u64>,
}

/// A position in the list of servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Position {
    /// When the feed last confirmed it, also without changes.
    pub confirmed_at: Time,
    /// When that was requested: the list contains all that was there by then.
    pub as_of: Time,
    /// The newest known revision; never decreases.
    pub revision: u64,
}

/// A server known to this entry.
#[derive(Debug)]
pub(crate) struct Record {
    pub key: replica::Key,
    pub server: Server,
    /// Since when its row has been missing.
    pub missing_since: Option<Time>,
}

impl Servers {
    /// Distrusts missing rows until `until`.
    pub fn distrust_until(&mut self, until: Time) {
        self.distrusted_until = self.distrusted_until.max(until);
    }

    /// Distrusts missing rows until `until` according to another entry; replaces its previous report.
    pub fn set_peer_distrust(&mut self, until: Time) {
        self.peer_distrusted_until = until;
    }

    /// Returns whether a missing row means that its server is gone.
    pub fn is_trusted(&self, now: Time) -> bool {
        now >= self.trusted_from()
    }

    /// Returns for how long missing rows are still distrusted.
    pub fn trusted_in(&self, now: Time) -> Span {
        self.trusted_from().since(now)
    }

    fn trusted_from(&self) -> Time {
        self.distrusted_until.max(self.peer_distrusted_until)
    }

    /// Advances the known position, and drops peers' reports of removals up to it.
    pub fn advance_position(&mut self, at: Time, as_of: Time, revision: u64) {
        let known = self.position.revision;
        if known > 0 && Revision::is_of_older_era(known, revision) {
            self.restored_at = Some(at);
        }
        self.position = Position {
            confirmed_at: at.max(self.position.confirmed_at),
            as_of: as_of.max(self.position.as_of),
            revision: revision.max(self.position.revision),
        };
        let known = self.position.revision;
        self.ended.retain(|_, ended| *ended > known);
    }

    /// Records that a row was removed at a revision that this entry hasn't read yet.
    pub fn record_ended(&mut self, incarnation: &SmolStr, revision: u64) {
        let ended = self.ended.entry(incarnation.clone()).or_default();
        *ended = revision.max(*ended);
    }

    /// Returns whether a peer reported the removal of a row that this entry may still read.
    pub fn has_ended(&self, incarnation: &str) -> bool {
        self.ended.contains_key(incarnation)
    }

    /// Returns when the table service was last found to be restored from an older copy.
    pub fn restored(&self) -> Option<Time> {
        self.restored_at
    }

    /// Returns how far the list is known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Adds a server under the scheduler's key.
    pub fn add(&mut self, key: replica::Key, server: Server) {
        let incarnation = server.incarnation.clone();
        self.by_key.insert(key, incarnation.clone());
        let identity = rendezvous::identity(&incarnation);
        self.by_identity.insert(identity, incarnation.clone());
        let record = Record {
            key,
            server,
            missing_since: None,
        };
        self.by_incarnation.insert(incarnation, record);
    }

    /// Removes a server; its key still resolves to its incarnation.
    pub fn remove(&mut self, incarnation: &str) -> Option<Record> {
        self.by_identity.remove(&rendezvous::identity(incarnation));
        self.by_incarnation.remove(incarnation)
    }

    /// Removes the key of a removed server.
    pub fn drop_key(&mut self, key: replica::Key) {
        self.by_key.remove(&key);
    }

    /// Returns a server by its incarnation.
    pub fn get_mut(&mut self, incarnation: &str) -> Option<&mut Record> {
        self.by_incarnation.get_mut(incarnation)
    }

    /// Returns the known incarnation with this hash.
    pub fn incarnation_of_hash(&self, identity: u64) -> Option<SmolStr> {
        self.by_identity.get(&identity).cloned()
    }

    /// Marks an incarnation as leaving; returns whether that wasn't known.
    pub fn mark_leaving(&mut self, incarnation: &SmolStr) -> bool {
        if !self.leaving.insert(incarnation.clone()) {
            return false;
        }
        self.leaving_order.push_back(incarnation.clone());
        if self.leaving_order.len() > MAX_LEAVING_INCARNATIONS
            && let Some(oldest) = self.leaving_order.pop_front()
        {
            self.leaving.remove(&oldest);
        }
        true
    }

    /// Returns whether an incarnation is leaving or has left.
    pub fn is_leaving(&self, incarnation: &str) -> bool {
        self.leaving.contains(incarnation)
    }

    /// Returns the incarnations of the servers with these ids.
    pub fn incarnations_of(&self, ids: &[SmolStr]) -> Vec<SmolStr> {
        let records = self.by_incarnation.iter();
        records
            .filter(|(_, record)| ids.contains(&record.server.id))
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }

    /// Returns all incarnations.
    pub fn incarnations(&self) -> Vec<SmolStr> {
        self.by_incarnation.keys().cloned().collect()
    }

    /// Returns the incarnations whose rows are missing.
    pub fn missing(&self) -> Vec<SmolStr> {
        let records = self
            .by_incarnation
            .iter()
            .filter(|(_, record)| record.missing_since.is_some());
        records
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }

    /// Returns since when a server's row has been missing.
    pub fn missing_since(&self, incarnation: &str) -> Option<Time> {
        self.by_incarnation.get(incarnation)?.missing_since
    }

    /// Returns the address and names of a server.
    pub fn place(&self, key: replica::Key) -> Option<Endpoint> {
        let record = self.by_incarnation.get(self.by_key.get(&key)?)?;
        Some(endpoint_of(&record.server))
    }

    /// Returns the key of a known server.
    pub fn key_of(&self, incarnation: &str) -> Option<replica::Key> {
        Some(self.by_incarnation.get(incarnation)?.key)
    }

    /// Returns the incarnation for a key, also after its server was removed.
    pub fn incarnation_of(&self, key: replica::Key) -> Option<SmolStr> {
        self.by_key.get(&key).cloned()
    }

    /// Returns the software version of the server for a key, while it is known.
    pub fn version_of(&self, key: replica::Key) -> Option<&SmolStr> {
        let record = self.by_incarnation.get(self.by_key.get(&key)?)?;
        Some(&record.server.version)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.by_incarnation.values()
    }

    /// Returns the number of servers.
    pub fn count(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Returns the number of servers that are leaving but still present.
    pub fn leaving_count(&self) -> usize {
        let records = self.by_incarnation.keys();
        records
            .filter(|incarnation| self.is_leaving(incarnation))
            .count()
    }

    /// Returns when missing rows become trusted, if there are any.
    pub fn next_wake(&self) -> Option<Time> {
        let any = self
            .by_incarnation
            .values()
            .any(|record| record.missing_since.is_some());
        any.then(|| self.trusted_from())
    }

    /// Drops keys of removed servers that are no longer in use.
    pub fn prune_keys(&mut self, in_use: impl Fn(replica::Key) -> bool) {
        let known: BTreeSet<replica::Key> = self
            .by_incarnation
            .values()
            .map(|known| known.key)
            .collect();
        self.by_key
            .retain(|key, _| known.contains(key) || in_use(*key));
    }
}

/// Returns the address and names of a server.
pub(crate) fn endpoint_of(server: &Server) -> Endpoint {
    Endpoint {
        address: server.address.clone(),
        id: server.id.clone(),
        incarnation: server.incarnation.clone(),
    }
}

/// Returns the scheduler's key of a software version.
pub(crate) fn version_key(version: &str) -> version::Key {
    version::Key(rendezvous::identity(version))
}

/// How long a leaving server is expected to run if it gives no time.
pub(crate) const DEFAULT_NOTICE: Span = Span::from_seconds(2);

//! Backend servers by incarnation: which exist, which leave, which are missing.
//!
//! Leaving is sticky: a row that was read before and arrives late would bring a server back that is
//! about to end, and work sent there would be cut off. A missing row means that the server is gone,
//! but for the time after an outage of the table service: leases lapse then although servers live.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use policy::rendezvous;
use policy::replica;
use smol_str::SmolStr;
use store::revision::Revision;

use crate::attempt::Endpoint;
use watch::server::Server;

/// Most incarnations that are remembered as leaving; the oldest go first. A day of a large deployment
/// has some thousand.
const MAX_LEAVING_INCARNATIONS: usize = 16_384;

/// All servers that this entry knows.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    known: BTreeMap<SmolStr, Record>,
    by_key: BTreeMap<replica::Key, SmolStr>,
    /// Record ones by the hash of their incarnation, as entries name them to each other.
    by_identity: BTreeMap<u64, SmolStr>,
    /// Incarnations that leave or have left.
    leaving: BTreeSet<SmolStr>,
    /// The same, the oldest first.
    leaving_order: VecDeque<SmolStr>,
    /// Missing rows don't count before this time, after a gap of our own.
    distrusted_until: Time,
    /// Nor before this one, by the last word of those that read the list for us.
    peer_distrusted_until: Time,
    /// How far the list was read.
    position: Position,
    /// When the table service was last seen to have come back from a copy.
    restored_at: Option<Time>,
    /// Rows that ended by peers' word, and at which revision. Invariant: each is newer than our position, at
    /// which the list may still name the server.
    ended: BTreeMap<SmolStr, u64>,
}

/// How far the list was read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Position {
    /// When its feed answered last, also without news.
    pub confirmed_at: Time,
    /// The newest revision told; never falls.
    pub revision: u64,
}

/// One server.
#[derive(Debug)]
pub(crate) struct Record {
    pub key: replica::Key,
    pub server: Server,
    /// Since when its row is missing, if it is.
    pub missing_since: Option<Time>,
}

impl Servers {
    /// Missing rows don't count until `at`.
    pub fn distrust_until(&mut self, at: Time) {
        self.distrusted_until = self.distrusted_until.max(at);
    }

    /// Missing rows don't count until `at` by another entry's word; its next word takes the place of this one.
    pub fn set_peer_distrust(&mut self, at: Time) {
        self.peer_distrusted_until = at;
    }

    /// Whether a missing row means that its server is gone.
    pub fn is_trusted(&self, now: Time) -> bool {
        now >= self.trusted_from()
    }

    /// How long missing rows don't count yet.
    pub fn trusted_in(&self, now: Time) -> Span {
        self.trusted_from().since(now)
    }

    fn trusted_from(&self) -> Time {
        self.distrusted_until.max(self.peer_distrusted_until)
    }

    /// Notes that all up to a revision was known at that time; peers' word on that isn't needed any more.
    pub fn advance_position(&mut self, at: Time, revision: u64) {
        let known = self.position.revision;
        if known > 0 && Revision::is_of_older_era(known, revision) {
            self.restored_at = Some(at);
        }
        self.position = Position {
            confirmed_at: at.max(self.position.confirmed_at),
            revision: revision.max(self.position.revision),
        };
        let known = self.position.revision;
        self.ended.retain(|_, ended| *ended > known);
    }

    /// Notes that a row ends at a revision that we haven't read yet.
    pub fn record_ended(&mut self, incarnation: &SmolStr, revision: u64) {
        let ended = self.ended.entry(incarnation.clone()).or_default();
        *ended = revision.max(*ended);
    }

    /// Whether a row that we read has ended since.
    pub fn has_ended(&self, incarnation: &str) -> bool {
        self.ended.contains_key(incarnation)
    }

    /// When the table service was last seen to have come back from a copy, if it ever was.
    pub fn restored(&self) -> Option<Time> {
        self.restored_at
    }

    /// How far the list was read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Takes a server in under the scheduler's key.
    pub fn add(&mut self, key: replica::Key, server: Server) {
        let incarnation = server.incarnation.clone();
        self.by_key.insert(key, incarnation.clone());
        let identity = rendezvous::identity(&incarnation);
        self.by_identity.insert(identity, incarnation.clone());
        let known = Record {
            key,
            server,
            missing_since: None,
        };
        self.known.insert(incarnation, known);
    }

    /// Forgets a server.
    pub fn remove(&mut self, incarnation: &str) -> Option<Record> {
        self.by_identity.remove(&rendezvous::identity(incarnation));
        self.known.remove(incarnation)
    }

    /// Forgets the key of a server that was removed, once nothing runs there any more.
    pub fn drop_key(&mut self, key: replica::Key) {
        self.by_key.remove(&key);
    }

    /// A server by its incarnation.
    pub fn get_mut(&mut self, incarnation: &str) -> Option<&mut Record> {
        self.known.get_mut(incarnation)
    }

    /// The known incarnation that entries name by this hash.
    pub fn incarnation_of_hash(&self, identity: u64) -> Option<SmolStr> {
        self.by_identity.get(&identity).cloned()
    }

    /// Notes that an incarnation leaves; whether that is news.
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

    /// Whether an incarnation gets no new work.
    pub fn is_leaving(&self, incarnation: &str) -> bool {
        self.leaving.contains(incarnation)
    }

    /// Names of the incarnations that go by one of these ids.
    pub fn incarnations_of(&self, ids: &[SmolStr]) -> Vec<SmolStr> {
        let known = self.known.iter();
        known
            .filter(|(_, known)| ids.contains(&known.server.id))
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }

    /// Names of all incarnations.
    pub fn incarnations(&self) -> Vec<SmolStr> {
        self.known.keys().cloned().collect()
    }

    /// Names of all incarnations whose rows are missing.
    pub fn missing(&self) -> Vec<SmolStr> {
        let known = self
            .known
            .iter()
            .filter(|(_, known)| known.missing_since.is_some());
        known.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Since when a server's row is missing, if it is.
    pub fn missing_since(&self, incarnation: &str) -> Option<Time> {
        self.known.get(incarnation)?.missing_since
    }

    /// Where the shell finds a server.
    pub fn place(&self, key: replica::Key) -> Option<Endpoint> {
        let known = self.known.get(self.by_key.get(&key)?)?;
        Some(Endpoint {
            address: known.server.address.clone(),
            id: known.server.id.clone(),
            incarnation: known.server.incarnation.clone(),
        })
    }

    /// The incarnation that a key stands for, also after the server is gone.
    pub fn incarnation_of(&self, key: replica::Key) -> Option<SmolStr> {
        self.by_key.get(&key).cloned()
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.known.values()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// How many leave but are still there.
    pub fn leaving_count(&self) -> usize {
        let known = self.known.keys();
        known
            .filter(|incarnation| self.is_leaving(incarnation))
            .count()
    }

    /// When missing rows begin to count, if there are any.
    pub fn next_wake(&self) -> Option<Time> {
        let any = self
            .known
            .values()
            .any(|known| known.missing_since.is_some());
        any.then(|| self.trusted_from())
    }

    /// Keeps the keys of gone servers bounded.
    pub fn prune_keys(&mut self, in_use: impl Fn(replica::Key) -> bool) {
        let known: BTreeSet<replica::Key> = self.known.values().map(|known| known.key).collect();
        self.by_key
            .retain(|key, _| known.contains(key) || in_use(*key));
    }
}

/// How long a server that leaves without a word of when is taken to go on.
pub(crate) const DEFAULT_NOTICE: Span = Span::from_seconds(2);

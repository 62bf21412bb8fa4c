//! Backend servers by incarnation: what the instance list, notices and peers say of them.
//!
//! Leaving is sticky. The list lags, so a server that announced its end can show as live again a few
//! reads later; new work sent there would be cut off. Once any source has said that an incarnation
//! leaves, nothing turns that back: a server that returns comes under a new incarnation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use policy::replica;
use smol_str::SmolStr;

use crate::attempt::Endpoint;
use crate::instance::Instance;

/// Time to clear a server that the list calls leaving without a notice.
pub const LISTED_LEAVE_TIME: Span = Span::from_seconds(30);

/// Most incarnations that are remembered as gone; the oldest names are dropped first.
const MAX_LEAVING: usize = 65_536;

/// What became known of the servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server not seen before.
    Joined(Instance),
    /// A known server has to be cleared by then.
    Leaving(SmolStr, Time),
    /// A known server is off the list.
    Lost(SmolStr),
}

/// All servers that this entry may use.
#[derive(Debug, Default)]
pub struct Backends {
    known: BTreeMap<SmolStr, Backend>,
    by_key: BTreeMap<replica::Key, SmolStr>,
    /// Incarnations that leave or are gone; an incarnation never gets out of here.
    leaving: BTreeSet<SmolStr>,
    /// The same names, the oldest first; each once.
    leaving_order: VecDeque<SmolStr>,
}

/// One known server.
#[derive(Debug)]
struct Backend {
    key: replica::Key,
    instance: Instance,
}

impl Backends {
    /// Compares the list with what is known.
    pub fn reconcile(&mut self, now: Time, list: &[Instance]) -> Vec<Change> {
        let mut changes = Vec::new();
        for instance in list {
            let leaving = self.leaving.contains(&instance.incarnation);
            let known = self.known.contains_key(&instance.incarnation);
            if instance.leaving && !leaving {
                self.mark_leaving(instance.incarnation.clone());
                if known {
                    let deadline = now + LISTED_LEAVE_TIME;
                    changes.push(Change::Leaving(instance.incarnation.clone(), deadline));
                }
            } else if !instance.leaving && !leaving && !known {
                changes.push(Change::Joined(instance.clone()));
            }
        }
        let listed: BTreeSet<&SmolStr> = list.iter().map(|one| &one.incarnation).collect();
        let lost = self.known.keys().filter(|one| !listed.contains(one));
        changes.extend(lost.cloned().map(Change::Lost));
        changes
    }

    /// A notice, a peer or the server itself says that an incarnation leaves.
    ///
    /// Gives whether that is news.
    pub fn mark_leaving(&mut self, incarnation: SmolStr) -> bool {
        if !self.leaving.insert(incarnation.clone()) {
            return false;
        }
        self.leaving_order.push_back(incarnation);
        if self.leaving_order.len() > MAX_LEAVING
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

    /// Incarnations known to leave, for peers.
    pub fn leaving(&self) -> impl Iterator<Item = &SmolStr> {
        self.leaving.iter()
    }

    /// Takes a server in under the scheduler's key.
    pub fn add(&mut self, key: replica::Key, instance: Instance) {
        self.by_key.insert(key, instance.incarnation.clone());
        let incarnation = instance.incarnation.clone();
        self.known.insert(incarnation, Backend { key, instance });
    }

    /// Forgets a server; its incarnation never comes back.
    pub fn remove(&mut self, incarnation: &str) -> Option<replica::Key> {
        let backend = self.known.remove(incarnation)?;
        self.by_key.remove(&backend.key);
        self.mark_leaving(backend.instance.incarnation);
        Some(backend.key)
    }

    /// The scheduler's key of a server.
    pub fn key_of(&self, incarnation: &str) -> Option<replica::Key> {
        self.known.get(incarnation).map(|backend| backend.key)
    }

    /// The server that a key stands for.
    pub fn instance(&self, key: replica::Key) -> Option<&Instance> {
        let incarnation = self.by_key.get(&key)?;
        self.known.get(incarnation).map(|backend| &backend.instance)
    }

    /// Where the shell finds a server.
    pub fn endpoint(&self, key: replica::Key) -> Option<Endpoint> {
        let instance = self.instance(key)?;
        Some(Endpoint {
            address: instance.address.clone(),
            incarnation: instance.incarnation.clone(),
        })
    }

    /// All known servers.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.known.values().map(|backend| &backend.instance)
    }
}

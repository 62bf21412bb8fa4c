//! Registry of backend servers by incarnation, from the instance list, notices and peers.
//!
//! Leaving is permanent. The instance list lags, so a server that announced its end can appear as live
//! again a few readings later, and new work sent to it would be cut off. Once any source reports an
//! incarnation as leaving, no later reading reverts it: a returning server has a new incarnation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use policy::replica;
use smol_str::SmolStr;

use crate::attempt::Endpoint;
use crate::instance::Instance;

/// Time until the assumed end of a server that the list marks as leaving without a notice.
pub const LISTED_LEAVE_TIME: Span = Span::from_seconds(30);

/// Maximum number of remembered leaving incarnations; the oldest are evicted first.
const MAX_LEAVING: usize = 65_536;

/// A difference between the instance list and the known servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new server.
    Joined(Instance),
    /// A known server leaves; its requests must have moved by the given time.
    Leaving(SmolStr, Time),
    /// A known server is no longer listed.
    Lost(SmolStr),
}

/// The known backend servers.
#[derive(Debug, Default)]
pub struct Backends {
    by_incarnation: BTreeMap<SmolStr, Backend>,
    by_key: BTreeMap<replica::Key, SmolStr>,
    /// Incarnations that are leaving or gone.
    leaving: BTreeSet<SmolStr>,
    /// The same incarnations, oldest first.
    leaving_order: VecDeque<SmolStr>,
}

/// A known server and its key in the scheduler.
#[derive(Debug)]
struct Backend {
    key: replica::Key,
    instance: Instance,
}

impl Backends {
    /// Compares the instance list with the known servers and returns the differences.
    pub fn reconcile(&mut self, now: Time, list: &[Instance]) -> Vec<Change> {
        let mut changes = Vec::new();
        for instance in list {
            let is_leaving = self.leaving.contains(&instance.incarnation);
            let is_known = self.by_incarnation.contains_key(&instance.incarnation);
            if instance.leaving && !is_leaving {
                self.mark_leaving(instance.incarnation.clone());
                if is_known {
                    let deadline = now + LISTED_LEAVE_TIME;
                    changes.push(Change::Leaving(instance.incarnation.clone(), deadline));
                }
            } else if !instance.leaving && !is_leaving && !is_known {
                changes.push(Change::Joined(instance.clone()));
            }
        }
        let listed: BTreeSet<&SmolStr> =
            list.iter().map(|instance| &instance.incarnation).collect();
        let lost = self
            .by_incarnation
            .keys()
            .filter(|incarnation| !listed.contains(incarnation));
        changes.extend(lost.cloned().map(Change::Lost));
        changes
    }

    /// Marks an incarnation as leaving; returns false if it already was.
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

    /// Returns whether an incarnation is leaving and gets no new work.
    pub fn is_leaving(&self, incarnation: &str) -> bool {
        self.leaving.contains(incarnation)
    }

    /// Returns all leaving incarnations.
    pub fn leaving(&self) -> impl Iterator<Item = &SmolStr> {
        self.leaving.iter()
    }

    /// Adds a server under its key in the scheduler.
    pub fn add(&mut self, key: replica::Key, instance: Instance) {
        self.by_key.insert(key, instance.incarnation.clone());
        let incarnation = instance.incarnation.clone();
        self.by_incarnation
            .insert(incarnation, Backend { key, instance });
    }

    /// Removes a server and marks its incarnation as leaving.
    pub fn remove(&mut self, incarnation: &str) -> Option<replica::Key> {
        let backend = self.by_incarnation.remove(incarnation)?;
        self.by_key.remove(&backend.key);
        self.mark_leaving(backend.instance.incarnation);
        Some(backend.key)
    }

    /// Returns a server's key in the scheduler.
    pub fn key_of(&self, incarnation: &str) -> Option<replica::Key> {
        self.by_incarnation
            .get(incarnation)
            .map(|backend| backend.key)
    }

    /// Returns the instance of a key.
    pub fn instance(&self, key: replica::Key) -> Option<&Instance> {
        let incarnation = self.by_key.get(&key)?;
        self.by_incarnation
            .get(incarnation)
            .map(|backend| &backend.instance)
    }

    /// Returns the endpoint of a key.
    pub fn endpoint(&self, key: replica::Key) -> Option<Endpoint> {
        let instance = self.instance(key)?;
        Some(Endpoint {
            address: instance.address.clone(),
            incarnation: instance.incarnation.clone(),
        })
    }

    /// Iterates over all known servers.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.by_incarnation
            .values()
            .map(|backend| &backend.instance)
    }
}

//! Actual instances and notices, and the instance list, which lags behind.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// An instance of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// Name; a replacement may reuse it under a new incarnation.
    pub id: SmolStr,
    /// Incarnation, never reused.
    pub incarnation: SmolStr,
    /// Address that it listens on.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    pub market: SmolStr,
    /// Pool that it belongs to.
    pub pool: SmolStr,
    /// `engine`, `service` or `entry`.
    pub kind: SmolStr,
    /// Lifecycle state.
    pub state: Lifecycle,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// In service.
    #[default]
    Live,
    /// About to be taken away.
    Leaving,
    /// Terminated and no longer listed.
    Gone,
}

/// A reclaim notice as returned by the API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number, one higher for each notice.
    pub seq: u64,
    /// Incarnation that is reclaimed.
    pub incarnation: SmolStr,
    /// Milliseconds left when the response was sent.
    pub deadline_ms: u64,
}

/// Instances to reclaim: one instance, or all of a zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reclaim {
    /// Name of the instance; empty for none.
    pub id: SmolStr,
    /// Availability zone; empty for none.
    pub zone: SmolStr,
    /// Milliseconds until the instances are taken away.
    pub deadline_ms: u64,
}

struct IssuedNotice {
    seq: u64,
    incarnation: SmolStr,
    deadline: Instant,
}

struct Version {
    since: Instant,
    instances: Vec<Instance>,
}

/// Instances, spares and notices.
#[derive(Default)]
pub struct Fleet {
    instances: Vec<Instance>,
    /// Running instances that are not listed until an order starts them.
    spares: Vec<Instance>,
    /// Versions of the list, oldest first; each is valid until the next one's time.
    history: Vec<Version>,
    notices: Vec<IssuedNotice>,
    last_number: u64,
}

impl Fleet {
    /// Adds an instance to the list and fills in a missing name or incarnation.
    pub fn add(&mut self, instance: Instance) -> Instance {
        let named = self.assign_names(instance);
        self.instances.push(named.clone());
        self.record_version();
        named
    }

    /// Adds a running instance as a spare.
    pub fn add_spare(&mut self, instance: Instance) -> Instance {
        let named = self.assign_names(instance);
        self.spares.push(named.clone());
        named
    }

    /// Lists a spare that matches the order, if there is one.
    pub fn start(&mut self, order: &Instance) -> Option<Instance> {
        let matches_order = |spare: &Instance| {
            let same_machine = spare.zone == order.zone && spare.class == order.class;
            same_machine && spare.market == order.market && spare.pool == order.pool
        };
        let index = self.spares.iter().position(matches_order)?;
        let spare = self.spares.remove(index);
        Some(self.add(spare))
    }

    /// Changes the state of an instance; returns false if no instance has this name.
    pub fn set_state(&mut self, id: &str, state: Lifecycle) -> bool {
        let Some(index) = self.instances.iter().position(|item| item.id == id) else {
            return false;
        };
        match state {
            Lifecycle::Gone => {
                self.instances.remove(index);
            }
            _ => self.instances[index].state = state,
        }
        self.record_version();
        true
    }

    /// Issues reclaim notices and returns the affected instances.
    pub fn reclaim(&mut self, reclaim: &Reclaim) -> Vec<Instance> {
        let deadline = Instant::now() + Duration::from_millis(reclaim.deadline_ms);
        let mut reclaimed = Vec::new();
        for instance in &mut self.instances {
            let named = instance.id == reclaim.id;
            let in_zone = !reclaim.zone.is_empty() && instance.zone == reclaim.zone;
            if !named && !in_zone {
                continue;
            }
            instance.state = Lifecycle::Leaving;
            self.notices.push(IssuedNotice {
                seq: self.notices.len() as u64 + 1,
                incarnation: instance.incarnation.clone(),
                deadline,
            });
            reclaimed.push(instance.clone());
        }
        self.record_version();
        reclaimed
    }

    /// Returns the notices after `after`.
    pub fn notices(&self, after: u64) -> Vec<Notice> {
        let now = Instant::now();
        let later = self.notices.iter().filter(|notice| notice.seq > after);
        later
            .map(|notice| Notice {
                seq: notice.seq,
                incarnation: notice.incarnation.clone(),
                deadline_ms: notice.deadline.saturating_duration_since(now).as_millis() as u64,
            })
            .collect()
    }

    /// Returns the instance list as it was `lag` ago.
    pub fn listed(&self, lag: Duration) -> &[Instance] {
        let now = Instant::now();
        let old_enough = |version: &&Version| now.saturating_duration_since(version.since) >= lag;
        let version = self.history.iter().rev().find(old_enough);
        version.map_or(&[], |version| &version.instances)
    }

    fn assign_names(&mut self, mut instance: Instance) -> Instance {
        self.last_number += 1;
        if instance.id.is_empty() {
            instance.id = format_smolstr!("i-{}", self.last_number);
        }
        if instance.incarnation.is_empty() {
            instance.incarnation = format_smolstr!("{}.{}", instance.id, self.last_number);
        }
        instance
    }

    fn record_version(&mut self) {
        self.history.push(Version {
            since: Instant::now(),
            instances: self.instances.clone(),
        });
    }
}

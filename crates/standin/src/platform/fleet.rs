//! Instances and notices as they truly are, and as the lagging instance list shows them.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// One instance of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// Its name; an incarnation that replaces another may keep it.
    pub id: SmolStr,
    /// Unique for ever.
    pub incarnation: SmolStr,
    /// Where it listens.
    pub address: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its machine class.
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    pub market: SmolStr,
    /// Which pool it serves.
    pub pool: SmolStr,
    /// `engine`, `service` or `entry`.
    pub kind: SmolStr,
    /// Live or leaving.
    pub state: Life,
}

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Life {
    /// It is to stay.
    #[default]
    Live,
    /// It is to go.
    Leaving,
    /// It is gone, and no longer in the list.
    Gone,
}

/// A reclaim notice as it is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Rises by one with each notice.
    pub seq: u64,
    /// Whose.
    pub incarnation: SmolStr,
    /// Milliseconds left when the answer was made.
    pub deadline_ms: u64,
}

/// Whom a notice is for: one instance, or all of a zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reclaim {
    /// The instance; empty for none.
    pub id: SmolStr,
    /// The availability zone; empty for none.
    pub zone: SmolStr,
    /// Milliseconds until the instance is taken.
    pub deadline_ms: u64,
}

struct Announced {
    seq: u64,
    incarnation: SmolStr,
    until: Instant,
}

struct Version {
    since: Instant,
    instances: Vec<Instance>,
}

/// The fleet.
#[derive(Default)]
pub struct Fleet {
    instances: Vec<Instance>,
    /// Instances that already run somewhere and are handed out when one is ordered.
    spares: Vec<Instance>,
    /// Oldest first; each holds from its time until the next one's.
    history: Vec<Version>,
    notices: Vec<Announced>,
    next: u64,
}

impl Fleet {
    /// Adds an instance and names it where it has no name.
    pub fn add(&mut self, instance: Instance) -> Instance {
        let named = self.name(instance);
        self.instances.push(named.clone());
        self.record();
        named
    }

    /// Keeps a running instance ready to be handed out.
    pub fn add_spare(&mut self, instance: Instance) -> Instance {
        let named = self.name(instance);
        self.spares.push(named.clone());
        named
    }

    /// Hands out a spare that matches what was ordered.
    pub fn start(&mut self, order: &Instance) -> Option<Instance> {
        let fits = |spare: &Instance| {
            let same_place = spare.zone == order.zone && spare.class == order.class;
            same_place && spare.market == order.market && spare.pool == order.pool
        };
        let at = self.spares.iter().position(fits)?;
        let spare = self.spares.remove(at);
        Some(self.add(spare))
    }

    /// Changes the state of an instance; false where there is none of that name.
    pub fn set_state(&mut self, id: &str, state: Life) -> bool {
        let Some(at) = self.instances.iter().position(|item| item.id == id) else {
            return false;
        };
        match state {
            Life::Gone => {
                self.instances.remove(at);
            }
            _ => self.instances[at].state = state,
        }
        self.record();
        true
    }

    /// Sends notices; returns whose.
    pub fn reclaim(&mut self, reclaim: &Reclaim) -> Vec<Instance> {
        let until = Instant::now() + Duration::from_millis(reclaim.deadline_ms);
        let mut chosen = Vec::new();
        for instance in &mut self.instances {
            let named = instance.id == reclaim.id;
            let in_zone = !reclaim.zone.is_empty() && instance.zone == reclaim.zone;
            if !named && !in_zone {
                continue;
            }
            instance.state = Life::Leaving;
            self.notices.push(Announced {
                seq: self.notices.len() as u64 + 1,
                incarnation: instance.incarnation.clone(),
                until,
            });
            chosen.push(instance.clone());
        }
        self.record();
        chosen
    }

    /// The notices after `seq`.
    pub fn notices(&self, after: u64) -> Vec<Notice> {
        let now = Instant::now();
        let later = self.notices.iter().filter(|notice| notice.seq > after);
        later
            .map(|notice| Notice {
                seq: notice.seq,
                incarnation: notice.incarnation.clone(),
                deadline_ms: notice.until.saturating_duration_since(now).as_millis() as u64,
            })
            .collect()
    }

    /// The instances as they were `lag` ago.
    pub fn listed(&self, lag: Duration) -> &[Instance] {
        let now = Instant::now();
        let old_enough = |version: &&Version| now.saturating_duration_since(version.since) >= lag;
        let version = self.history.iter().rev().find(old_enough);
        version.map_or(&[], |version| &version.instances)
    }

    fn name(&mut self, mut instance: Instance) -> Instance {
        self.next += 1;
        if instance.id.is_empty() {
            instance.id = format_smolstr!("i-{}", self.next);
        }
        if instance.incarnation.is_empty() {
            instance.incarnation = format_smolstr!("{}.{}", instance.id, self.next);
        }
        instance
    }

    fn record(&mut self) {
        self.history.push(Version {
            since: Instant::now(),
            instances: self.instances.clone(),
        });
    }
}

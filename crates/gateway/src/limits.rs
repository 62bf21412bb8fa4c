//! Limits that overloaded backend servers set in their answers.
//!
//! Each entry reports the limits it received along with its counts; of several reports on a server the newest
//! counts. [`policy::pace`] and [`policy::tolerance`] divide each limit among the entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use line::Line;
use policy::pace;
use policy::pace::Rate;
use policy::pace::Share;
use policy::rendezvous;
use policy::tolerance;
use policy::tolerance::Division;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// How long a lifted limit is still reported, so that it overrides older reports in transit.
const LIFTED_RETENTION: Span = Span::from_seconds(60);

/// Division of each service's slots, where entries are many.
type Divisions = BTreeMap<SmolStr, Option<Division>>;

/// The latest limits by the server's incarnation.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    by_server: BTreeMap<SmolStr, Limit>,
}

/// What a server's answer states about the requests it accepts from all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stated {
    /// Rate of requests that it accepts.
    pub rate: Option<Rate>,
    /// Requests that it can turn away within a second without failing.
    pub rejections: Option<u32>,
}

impl Stated {
    /// Returns whether the answer states no limit.
    pub fn is_empty(&self) -> bool {
        *self == Stated::default()
    }
}

/// The latest answer of a server with regard to its limit.
#[derive(Clone, Copy, Debug)]
struct Limit {
    received_at: Time,
    stated: Stated,
    /// Whether this entry received the answer itself, so that it reports the limit.
    local: bool,
}

/// An entry's report on a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests per thousand seconds from all entries together; none once the limit is lifted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<u32>,
    /// Rejections per second that the server bears; none once the limit is lifted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejections: Option<u32>,
    /// Milliseconds since the server's answer.
    pub age_ms: u64,
}

/// Reports on limits by hash of the server's incarnation.
pub type Reports = BTreeMap<u64, Report>;

/// Merges reports that were received `held` ago, keeping the newer one on each server.
pub(crate) fn merge_newest(into: &mut Reports, reports: &Reports, held: Span) {
    for (server, report) in reports {
        let report = Report {
            age_ms: report.age_ms + held.as_millis(),
            ..*report
        };
        let known = into.entry(*server).or_insert(report);
        if report.age_ms < known.age_ms {
            *known = report;
        }
    }
}

impl Limits {
    /// Returns whether a server's limit is in force.
    pub(crate) fn is_limited(&self, incarnation: &str) -> bool {
        let known = self.by_server.get(incarnation);
        known.is_some_and(|limit| !limit.stated.is_empty())
    }

    /// Returns the limits that this entry received itself.
    pub(crate) fn reports(&self, now: Time) -> Reports {
        let own = self.by_server.iter().filter(|(_, limit)| limit.local);
        let reports = own.map(|(incarnation, limit)| {
            let report = Report {
                rate: limit.stated.rate.map(|rate| rate.0),
                rejections: limit.stated.rejections,
                age_ms: now.since(limit.received_at).as_millis(),
            };
            (rendezvous::identity(incarnation), report)
        });
        reports.collect()
    }

    /// Records a limit unless a newer one is known; returns whether it changed.
    fn record(&mut self, incarnation: &SmolStr, limit: Limit) -> bool {
        let known = self.by_server.get(incarnation).copied();
        if known.is_some_and(|known| known.received_at >= limit.received_at && !limit.local) {
            return false;
        }
        let before = known.map(|known| known.stated).unwrap_or_default();
        if known.is_none() && limit.stated.is_empty() {
            return false;
        }
        self.by_server.insert(incarnation.clone(), limit);
        before != limit.stated
    }
}

impl Gateway {
    /// Handles a server's answer with a limit on requests from all entries together, or without any.
    pub(crate) fn handle_limit(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        stated: Stated,
        effects: &mut Vec<Effect>,
    ) {
        let (received_at, local) = (now, true);
        self.apply_limit(
            now,
            incarnation,
            Limit {
                received_at,
                stated,
                local,
            },
            effects,
        );
    }

    /// Handles another entry's reports on limits.
    pub(crate) fn handle_limit_reports(
        &mut self,
        now: Time,
        reports: &Reports,
        effects: &mut Vec<Effect>,
    ) {
        for (server, report) in reports {
            let Some(incarnation) = self.servers.incarnation_of_hash(*server) else {
                continue;
            };
            let limit = Limit {
                received_at: Time::from_millis(now.as_millis().saturating_sub(report.age_ms)),
                stated: Stated {
                    rate: report.rate.map(Rate),
                    rejections: report.rejections,
                },
                local: false,
            };
            self.apply_limit(now, &incarnation, limit, effects);
        }
    }

    /// Applies all limits again, since this entry's shares depend on the other entries.
    pub(crate) fn limits_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let servers = &mut self.servers;
        self.limits.by_server.retain(|incarnation, limit| {
            let kept = !limit.stated.is_empty() || now.since(limit.received_at) < LIFTED_RETENTION;
            kept && servers.get_mut(incarnation).is_some()
        });
        let limits: Vec<(SmolStr, Stated)> = self
            .limits
            .by_server
            .iter()
            .map(|(incarnation, limit)| (incarnation.clone(), limit.stated))
            .collect();
        let mut divisions = Divisions::new();
        for (incarnation, stated) in limits {
            self.apply_shares(now, &incarnation, stated, &mut divisions, effects);
        }
    }

    /// Records a limit and, if it changed, applies it.
    fn apply_limit(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        limit: Limit,
        effects: &mut Vec<Effect>,
    ) {
        if !self.limits.record(incarnation, limit) {
            return;
        }
        let Stated { rate, rejections } = limit.stated;
        let line = Line::info("server_limit")
            .with("replica", incarnation)
            .with("per_second", rate.map_or(0.0, Rate::requests_per_second))
            .with("limited", rate.is_some())
            .with("brittle", rejections.is_some())
            .with("rejections", rejections.unwrap_or(0))
            .with("here", limit.local);
        effects.push(Effect::Log(line));
        let mut divisions = Divisions::new();
        self.apply_shares(now, incarnation, limit.stated, &mut divisions, effects);
    }

    /// Divides the slots of a service's servers among the entries, where these are many.
    fn divide(&self, service: &str, slots: u32) -> Option<Division> {
        let servers = self.servers.iter().map(|known| &known.server);
        let servers: Vec<u64> = servers
            .filter(|server| server.service == service)
            .map(|server| rendezvous::identity(&server.incarnation))
            .collect();
        Division::new(&servers, slots, &self.known_entries())
    }

    /// Returns about how many entries have callers, this one included.
    fn active_entries(&self) -> u32 {
        let peers = self.peer_loads.values().map(|load| load.active);
        1 + peers.sum::<u32>()
    }

    /// Returns the entries that slots are divided among. Those that are suspected for a while keep theirs, so that all
    /// divide alike.
    fn known_entries(&self) -> Vec<u64> {
        let known = self.membership.directory().latest_by_address();
        let entries: BTreeSet<u64> = known
            .map(|(entry, _)| entry.0)
            .chain([self.identity.incarnation.0])
            .collect();
        entries.into_iter().collect()
    }

    /// Passes this entry's shares of a server's limits to the scheduler; `divisions` are those made so far.
    fn apply_shares(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        stated: Stated,
        divisions: &mut Divisions,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.servers.get_mut(incarnation) else {
            return;
        };
        let (key, slots) = (known.key, known.server.slots);
        let service = known.server.service.clone();
        let config = self.settings.scheduler.pace;
        let entries: Vec<u64> = self.roster.entries().iter().map(|entry| entry.0).collect();
        let server = rendezvous::identity(incarnation);
        let me = self.identity.incarnation.0;
        let pace = stated.rate.map_or(Share::Unlimited, |rate| {
            pace::share(&config, server, rate, &entries, me)
        });
        let share = stated.rejections.map(|_| {
            let divided = divisions.entry(service);
            let division = divided.or_insert_with_key(|service| self.divide(service, slots));
            let owned = match division {
                Some(division) => division.slots_of(server, me),
                None => tolerance::equal_slots(server, slots, &self.known_entries(), me),
            };
            tolerance::Share {
                owned,
                lent: tolerance::lent_slots(slots, self.active_entries(), entries.len() as u32),
            }
        });
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.replica_paced(now, key, pace, out);
            scheduler.replica_tolerance(now, key, share, out);
        });
    }
}

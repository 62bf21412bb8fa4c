//! Rate limits that overloaded backend servers set in their answers.
//!
//! Each entry reports the limits it received along with its counts; of several reports on a server the newest
//! counts. [`policy::pace`] divides each limit among some of the entries.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use line::Line;
use policy::pace;
use policy::pace::Rate;
use policy::pace::Share;
use policy::rendezvous;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::gateway::Gateway;

/// How long a lifted limit is still reported, so that it overrides older reports in transit.
const LIFTED_RETENTION: Span = Span::from_seconds(60);

/// The latest limits by the server's incarnation.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    by_server: BTreeMap<SmolStr, Limit>,
}

/// The latest answer of a server with regard to its limit.
#[derive(Clone, Copy, Debug)]
struct Limit {
    received_at: Time,
    /// The limit; none if the answer set none.
    rate: Option<Rate>,
    /// Whether this entry received the answer itself, so that it reports the limit.
    local: bool,
}

/// An entry's report on a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests per thousand seconds from all entries together; none once the limit is lifted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<u32>,
    /// Milliseconds since the server's answer.
    pub age_ms: u64,
}

/// Reports on limits by hash of the server's incarnation.
pub type Reports = BTreeMap<u64, Report>;

/// Merges reports, keeping the newer one on each server.
pub(crate) fn merge_newest(into: &mut Reports, reports: &Reports) {
    for (server, report) in reports {
        let known = into.entry(*server).or_insert(*report);
        if report.age_ms < known.age_ms {
            *known = *report;
        }
    }
}

impl Limits {
    /// Returns whether a server's limit is in force.
    pub(crate) fn is_limited(&self, incarnation: &str) -> bool {
        let known = self.by_server.get(incarnation);
        known.is_some_and(|limit| limit.rate.is_some())
    }

    /// Returns the limits that this entry received itself.
    pub(crate) fn reports(&self, now: Time) -> Reports {
        let own = self.by_server.iter().filter(|(_, limit)| limit.local);
        let reports = own.map(|(incarnation, limit)| {
            let report = Report {
                rate: limit.rate.map(|rate| rate.0),
                age_ms: now.since(limit.received_at).as_millis(),
            };
            (rendezvous::identity(incarnation), report)
        });
        reports.collect()
    }

    /// Records a limit unless a newer one is known; returns whether the rate changed.
    fn record(&mut self, incarnation: &SmolStr, limit: Limit) -> bool {
        let known = self.by_server.get(incarnation).copied();
        if known.is_some_and(|known| known.received_at >= limit.received_at && !limit.local) {
            return false;
        }
        let before = known.and_then(|known| known.rate);
        if known.is_none() && limit.rate.is_none() {
            return false;
        }
        self.by_server.insert(incarnation.clone(), limit);
        before != limit.rate
    }
}

impl Gateway {
    /// Handles a server's answer with a limit on requests from all entries together, or without any.
    pub(crate) fn handle_limit(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        rate: Option<Rate>,
        effects: &mut Vec<Effect>,
    ) {
        let (received_at, local) = (now, true);
        self.apply_limit(
            now,
            incarnation,
            Limit {
                received_at,
                rate,
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
                rate: report.rate.map(Rate),
                local: false,
            };
            self.apply_limit(now, &incarnation, limit, effects);
        }
    }

    /// Applies all limits again, since this entry's shares depend on the other entries.
    pub(crate) fn limits_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let servers = &mut self.servers;
        self.limits.by_server.retain(|incarnation, limit| {
            let kept = limit.rate.is_some() || now.since(limit.received_at) < LIFTED_RETENTION;
            kept && servers.get_mut(incarnation).is_some()
        });
        let limits: Vec<(SmolStr, Option<Rate>)> = self
            .limits
            .by_server
            .iter()
            .map(|(incarnation, limit)| (incarnation.clone(), limit.rate))
            .collect();
        for (incarnation, rate) in limits {
            self.apply_share(now, &incarnation, rate, effects);
        }
    }

    /// Records a limit and, if the rate changed, applies it.
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
        let rate = limit.rate;
        let line = Line::info("server_limit")
            .with("replica", incarnation)
            .with("per_second", rate.map_or(0.0, Rate::requests_per_second))
            .with("limited", rate.is_some())
            .with("here", limit.local);
        effects.push(Effect::Log(line));
        self.apply_share(now, incarnation, rate, effects);
    }

    /// Passes this entry's share of a limit to the scheduler.
    fn apply_share(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        rate: Option<Rate>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.servers.get_mut(incarnation).map(|known| known.key) else {
            return;
        };
        let share = rate.map_or(Share::Unlimited, |rate| self.share_of(incarnation, rate));
        self.with_scheduler(now, effects, |scheduler, out| {
            scheduler.replica_paced(now, key, share, out);
        });
    }

    fn share_of(&self, incarnation: &str, rate: Rate) -> Share {
        let config = self.settings.scheduler.pace;
        let entries: Vec<u64> = self.roster.entries().iter().map(|entry| entry.0).collect();
        let server = rendezvous::identity(incarnation);
        pace::share(&config, server, rate, &entries, self.identity.incarnation.0)
    }
}

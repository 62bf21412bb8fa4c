//! Limits that backend servers in need name in their answers.
//!
//! Each entry reports the limits in its answers with its counts; of several reports on a server the newest counts. Each
//! limit is dealt to some of the entries by [`policy::pace`].

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

/// How long it is reported that a limit is lifted: an older report may still be under way.
const LIFTED_RETENTION: Span = Span::from_seconds(60);

/// What servers said last, by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    by_server: BTreeMap<SmolStr, Limit>,
}

/// What a server said.
#[derive(Clone, Copy, Debug)]
struct Limit {
    received_at: Time,
    /// None if it named no limit.
    rate: Option<Rate>,
    /// Whether it stood in an answer to this entry, which reports it.
    local: bool,
}

/// One entry's report on a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests in a thousand seconds, from all entries together; none once the limit is lifted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<u32>,
    /// Since the server said so, milliseconds.
    pub age_ms: u64,
}

/// Reports on limits, by the hash of the server's incarnation.
pub type Reports = BTreeMap<u64, Report>;

/// Takes the newer report on each server.
pub(crate) fn merge_newest(into: &mut Reports, reports: &Reports) {
    for (server, report) in reports {
        let known = into.entry(*server).or_insert(*report);
        if report.age_ms < known.age_ms {
            *known = *report;
        }
    }
}

impl Limits {
    /// Whether a server's limit is in force.
    pub(crate) fn is_limited(&self, incarnation: &str) -> bool {
        let named = self.by_server.get(incarnation);
        named.is_some_and(|limit| limit.rate.is_some())
    }

    /// Limits in answers to this entry.
    pub(crate) fn reports(&self, now: Time) -> Reports {
        let here = self.by_server.iter().filter(|(_, limit)| limit.local);
        let reports = here.map(|(incarnation, limit)| {
            let report = Report {
                rate: limit.rate.map(|rate| rate.0),
                age_ms: now.since(limit.received_at).as_millis(),
            };
            (rendezvous::identity(incarnation), report)
        });
        reports.collect()
    }

    /// Notes what a server said, unless something newer is known; whether its limit is another one now.
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
    /// A server said in an answer how many requests it takes from all entries together, or that it takes any.
    pub(crate) fn limit_named(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        rate: Option<Rate>,
        effects: &mut Vec<Effect>,
    ) {
        let limit = Limit {
            received_at: now,
            rate,
            local: true,
        };
        self.apply_limit(now, incarnation, limit, effects);
    }

    /// Another entry reported limits.
    pub(crate) fn limits_reported(
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

    /// Deals all limits anew, since the entries may be others.
    pub(crate) fn limits_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let servers = &mut self.servers;
        self.limits.by_server.retain(|incarnation, limit| {
            let kept = limit.rate.is_some() || now.since(limit.received_at) < LIFTED_RETENTION;
            kept && servers.get_mut(incarnation).is_some()
        });
        let named: Vec<(SmolStr, Option<Rate>)> = self
            .limits
            .by_server
            .iter()
            .map(|(incarnation, limit)| (incarnation.clone(), limit.rate))
            .collect();
        for (incarnation, rate) in named {
            self.apply_share(now, &incarnation, rate, effects);
        }
    }

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

    /// Sets what this entry may send to a server.
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

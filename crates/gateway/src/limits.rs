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
const LIFTED_KEPT: Span = Span::from_seconds(60);

/// What servers said last, by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    named: BTreeMap<SmolStr, Named>,
}

/// What a server said.
#[derive(Clone, Copy, Debug)]
struct Named {
    at: Time,
    /// None if it named no limit.
    rate: Option<Rate>,
    /// Whether it stood in an answer to this entry, which reports it.
    here: bool,
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
        let named = self.named.get(incarnation);
        named.is_some_and(|named| named.rate.is_some())
    }

    /// Limits in answers to this entry.
    pub(crate) fn reports(&self, now: Time) -> Reports {
        let here = self.named.iter().filter(|(_, named)| named.here);
        let reports = here.map(|(incarnation, named)| {
            let report = Report {
                rate: named.rate.map(|rate| rate.0),
                age_ms: now.since(named.at).as_millis(),
            };
            (rendezvous::identity(incarnation), report)
        });
        reports.collect()
    }

    /// Notes what a server said, unless something newer is known; whether its limit is another one now.
    fn note(&mut self, incarnation: &SmolStr, named: Named) -> bool {
        let known = self.named.get(incarnation).copied();
        if known.is_some_and(|known| known.at >= named.at && !named.here) {
            return false;
        }
        let before = known.and_then(|known| known.rate);
        if known.is_none() && named.rate.is_none() {
            return false;
        }
        self.named.insert(incarnation.clone(), named);
        before != named.rate
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
        let (at, here) = (now, true);
        self.take_limit(now, incarnation, Named { at, rate, here }, effects);
    }

    /// Another entry reported limits.
    pub(crate) fn limits_reported(
        &mut self,
        now: Time,
        reports: &Reports,
        effects: &mut Vec<Effect>,
    ) {
        for (server, report) in reports {
            let Some(incarnation) = self.servers.named(*server) else {
                continue;
            };
            let named = Named {
                at: Time::from_millis(now.as_millis().saturating_sub(report.age_ms)),
                rate: report.rate.map(Rate),
                here: false,
            };
            self.take_limit(now, &incarnation, named, effects);
        }
    }

    /// Deals all limits anew, since the entries may be others.
    pub(crate) fn limits_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let servers = &mut self.servers;
        self.limits.named.retain(|incarnation, named| {
            let kept = named.rate.is_some() || now.since(named.at) < LIFTED_KEPT;
            kept && servers.get_mut(incarnation).is_some()
        });
        let named: Vec<(SmolStr, Option<Rate>)> = self
            .limits
            .named
            .iter()
            .map(|(incarnation, named)| (incarnation.clone(), named.rate))
            .collect();
        for (incarnation, rate) in named {
            self.deal(now, &incarnation, rate, effects);
        }
    }

    fn take_limit(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        named: Named,
        effects: &mut Vec<Effect>,
    ) {
        if !self.limits.note(incarnation, named) {
            return;
        }
        let rate = named.rate;
        let line = Line::info("server_limit")
            .with("replica", incarnation)
            .with("per_second", rate.map_or(0.0, Rate::in_seconds))
            .with("limited", rate.is_some())
            .with("here", named.here);
        effects.push(Effect::Log(line));
        self.deal(now, incarnation, rate, effects);
    }

    /// Sets what this entry may send to a server.
    fn deal(
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

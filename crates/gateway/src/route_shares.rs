//! Shares of the services that split a route, before and after a change.
//!
//! A stream is drawn for a service by its key and the shares in force, and a caller that takes it up must get the service
//! that began it. After changes of shares, streams for which any of the draws differ are recorded with their service; one
//! without a record is of the service drawn by the oldest of the shares. Entries that start later learn of former shares
//! from others, and take no missing record for proof until then.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use line::Line;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::catalog::Catalog;
use crate::catalog::Share;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::request::Request;

/// Time in which all entries apply a change of shares.
const APPLY_TIME: Span = Span::from_seconds(10);

/// Shares that were in force before the present ones, by route.
#[derive(Debug, Default)]
pub(crate) struct History {
    by_route: BTreeMap<SmolStr, VecDeque<Former>>,
}

/// Former shares as entries tell each other, by route.
pub type Statement = BTreeMap<SmolStr, Vec<Stated>>;

/// Shares that a change replaced, as another entry knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stated {
    /// Services with their weights.
    pub shares: Vec<(SmolStr, f64)>,
    /// Time for which callers may still take up streams that were drawn by them, milliseconds.
    pub left_ms: u64,
}

/// Shares that a change replaced.
#[derive(Debug)]
struct Former {
    shares: Vec<Share>,
    /// Time from which no caller takes up a stream that was drawn by them.
    until: Time,
}

impl History {
    /// Records the shares that a new configuration replaces.
    pub fn record_change(
        &mut self,
        now: Time,
        before: &Catalog,
        after: &Catalog,
        return_horizon: Span,
    ) {
        for route in before.routes().filter(|route| route.repeat.is_resumable()) {
            let same_route = after.routes().find(|other| other.name == route.name);
            if same_route.is_some_and(|other| other.shares != route.shares) {
                let former = Former {
                    shares: route.shares.clone(),
                    until: now + return_horizon + APPLY_TIME,
                };
                let formers = self.by_route.entry(route.name.clone()).or_default();
                formers.push_back(former);
            }
        }
    }

    /// Returns the former shares for other entries.
    pub fn statement(&self, now: Time) -> Statement {
        let state = |former: &Former| Stated {
            shares: former
                .shares
                .iter()
                .map(|share| (share.service.clone(), share.weight))
                .collect(),
            left_ms: former.until.since(now).as_millis(),
        };
        let routes = self.by_route.iter();
        let stated = routes.map(|(route, formers)| {
            let in_use = formers.iter().filter(|former| former.until > now);
            (route.clone(), in_use.map(state).collect::<Vec<_>>())
        });
        stated.filter(|(_, formers)| !formers.is_empty()).collect()
    }

    /// Takes over former shares that another entry knows, unless they are about to be forgotten: entries would remind each
    /// other of them without end.
    pub fn absorb(&mut self, now: Time, statement: &Statement) {
        for (route, formers) in statement {
            let known = self.by_route.entry(route.clone()).or_default();
            let lasting = |stated: &&Stated| stated.left_ms >= APPLY_TIME.as_millis();
            for stated in formers.iter().filter(lasting) {
                let shares = stated.shares.iter().map(|(service, weight)| Share {
                    service: service.clone(),
                    weight: *weight,
                });
                let former = Former {
                    shares: shares.collect(),
                    until: now + Span::from_millis(stated.left_ms),
                };
                let is_same = |one: &Former| {
                    let ends = (one.until.as_millis(), former.until.as_millis());
                    one.shares == former.shares && are_same_change(ends)
                };
                if !known.iter().any(is_same) {
                    let later = known.iter().position(|one| one.until > former.until);
                    known.insert(later.unwrap_or(known.len()), former);
                }
            }
        }
    }

    /// Returns the services drawn by all former shares by which a caller's stream may have been drawn, oldest first, for a
    /// number from 0 to 1.
    pub fn draw(&mut self, now: Time, route: &SmolStr, drawn: f64) -> Vec<SmolStr> {
        let Some(formers) = self.by_route.get_mut(route) else {
            return Vec::new();
        };
        while formers.front().is_some_and(|former| former.until <= now) {
            formers.pop_front();
        }
        let formers = formers.iter();
        formers
            .map(|former| choose(&former.shares, drawn))
            .collect()
    }
}

/// Returns one of the services by weight, for a number drawn from 0 to 1.
pub(crate) fn choose(shares: &[Share], drawn: f64) -> SmolStr {
    let total: f64 = shares.iter().map(|share| share.weight).sum();
    let mut drawn = drawn * total;
    for share in shares {
        drawn -= share.weight;
        if drawn < 0.0 {
            return share.service.clone();
        }
    }
    let last = shares.last();
    last.map(|share| share.service.clone()).unwrap_or_default()
}

/// Returns whether entries forget shares so close to each other, in milliseconds, that the same change replaced them.
fn are_same_change((one, other): (u64, u64)) -> bool {
    one.abs_diff(other) < APPLY_TIME.as_millis()
}

/// Adds former shares to those of a sum. The same ones may have been in force twice.
pub(crate) fn merge(into: &mut Statement, one: &Statement) {
    for (route, formers) in one {
        let into = into.entry(route.clone()).or_default();
        for former in formers {
            let is_same = |known: &Stated| {
                known.shares == former.shares && are_same_change((known.left_ms, former.left_ms))
            };
            if !into.iter().any(is_same) {
                into.push(former.clone());
            }
        }
    }
}

impl Gateway {
    /// Returns whether this entry knows all shares of a request's route by which its stream may have been drawn.
    pub(crate) fn knows_former_shares(&self, now: Time, open: &Request) -> bool {
        let known = self.versions.services.get(&open.service);
        let span = self.return_span(now, open);
        if known.is_some_and(|known| known.coverage(now) >= span) {
            return true;
        }
        let catalog = self.catalog.as_ref();
        let mut routes = catalog.into_iter().flat_map(|catalog| catalog.routes());
        let route = routes.find(|route| route.name == open.route);
        route.is_none_or(|route| route.shares.len() <= 1)
    }

    /// Assigns a request to the service that began its stream. Returns false, and refuses the request, if the
    /// route doesn't lead there any more.
    pub(crate) fn assign_service(
        &mut self,
        now: Time,
        serial: u64,
        service: &SmolStr,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let (Some(open), Some(catalog)) = (self.requests.get(&serial), self.catalog.clone()) else {
            return false;
        };
        if open.service == *service {
            return true;
        }
        let route = catalog.routes().find(|route| route.name == open.route);
        let shares = route.map_or(&[][..], |route| route.shares.as_slice());
        let known = catalog.service(service);
        let Some(known) = known.filter(|_| shares.iter().any(|share| share.service == *service))
        else {
            let message = "the service that began the stream isn't on its route any more";
            self.refuse(
                now,
                serial,
                Refusal::not_run(Reason::NoBackend, message),
                effects,
            );
            return false;
        };
        let tokens_per_event = known
            .engine
            .as_ref()
            .map_or(1, |engine| engine.tokens_per_event);
        let route = open.route.clone();
        let (pool, canary) = self.select_pool(now, service, &route);
        let pool = self.pool_key(&pool);
        let Some(open) = self.requests.get_mut(&serial) else {
            return false;
        };
        let line = Line::info("stream_service")
            .with("request", &open.id)
            .with("service", service)
            .with("drawn", &open.service);
        open.service = service.clone();
        open.tokens_per_event = tokens_per_event;
        open.job.pool = pool;
        open.canary = canary;
        effects.push(Effect::Log(line));
        true
    }
}

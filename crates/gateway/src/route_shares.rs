//! Shares of the services that split a route, before and after a change.
//!
//! A stream is drawn for a service by its key and the shares in force, and a caller that takes it up must get the service
//! that began it. After a change of shares, streams for which the draws differ are recorded with their service; one
//! without a record began before the change.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;
use line::Line;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::catalog::Catalog;
use crate::catalog::Share;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::versions::RETURN_WINDOW;

/// Time in which all entries apply a change of shares.
const APPLY_TIME: Span = Span::from_seconds(10);

/// Shares that were in force before the present ones, by route.
#[derive(Debug, Default)]
pub(crate) struct History {
    by_route: BTreeMap<SmolStr, VecDeque<Former>>,
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
    pub fn record_change(&mut self, now: Time, before: &Catalog, after: &Catalog) {
        for route in before.routes().filter(|route| route.repeat.is_resumable()) {
            let same_route = after.routes().find(|other| other.name == route.name);
            if same_route.is_some_and(|other| other.shares != route.shares) {
                let former = Former {
                    shares: route.shares.clone(),
                    until: now + RETURN_WINDOW + APPLY_TIME,
                };
                let formers = self.by_route.entry(route.name.clone()).or_default();
                formers.push_back(former);
            }
        }
    }

    /// Returns the oldest shares by which a caller's stream may have been drawn, if they aren't the present ones.
    pub fn oldest(&mut self, now: Time, route: &SmolStr) -> Option<&[Share]> {
        let formers = self.by_route.get_mut(route)?;
        while formers.front().is_some_and(|former| former.until <= now) {
            formers.pop_front();
        }
        formers.front().map(|former| former.shares.as_slice())
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

impl Gateway {
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

//! What all entries together know of the software versions that serve.
//!
//! An entry that is cut off from the table service, or was paused, doesn't hear of new servers. A list with a single
//! version then proves nothing about a stream that began elsewhere. So the bulletins of each entry state which versions
//! it knows, and a stream without a record is resumed once the statements of all entries, or the list itself, are newer
//! than the request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::request::Request;
use crate::returns::Source;

/// Longest wait for statements that are newer than a request: several rounds of them.
const AGREEMENT_TIMEOUT: Span = Span::from_millis(1_500);
/// Longest network delay of a statement: one that arrives this soon after a request may be older.
const STATEMENT_DELAY: Span = Span::from_millis(100);
/// Time after the start in which gossip brings all members that another entry knows.
const GOSSIP_TIME: Span = Span::from_millis(2_000);

/// The versions that an entry has seen itself, by service, with the milliseconds since.
pub type Statement = BTreeMap<SmolStr, BTreeMap<SmolStr, u64>>;

/// Statements of the others, and requests that wait for them.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    /// When each entry made its last statement.
    stated_at: BTreeMap<holder::Id, Time>,
    /// Serial numbers of the requests.
    waiting: BTreeSet<u64>,
}

/// Whether all entries know the same single version of a service.
enum Agreement {
    Agreed(SmolStr),
    Impossible(Cause),
    /// Statements are missing that may still arrive.
    Pending,
}

/// The reason why entries can't agree on a single version.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// Several versions, or none, served lately.
    SeveralVersions,
    /// The single version isn't the default one, which is about to be replaced.
    NotTheDefault,
    /// Another entry has failed or is cut off from this one.
    SilentEntry,
    /// Not all entries have made a statement in time.
    NoStatements,
}

impl Cause {
    /// Returns the form used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Cause::SeveralVersions => "several_versions",
            Cause::NotTheDefault => "not_the_default",
            Cause::SilentEntry => "silent_entry",
            Cause::NoStatements => "no_statements",
        }
    }
}

impl Releases {
    /// Forgets the statements of all others but `peers`.
    pub fn retain(&mut self, peers: &[holder::Id]) {
        self.stated_at.retain(|id, _| peers.contains(id));
    }
}

/// Adds a statement to a sum: the newest sight of each version counts.
pub(crate) fn merge(into: &mut Statement, one: &Statement) {
    for (service, versions) in one {
        let into = into.entry(service.clone()).or_default();
        for (version, age) in versions {
            let known = into.entry(version.clone()).or_insert(*age);
            *known = (*known).min(*age);
        }
    }
}

impl Gateway {
    /// Returns the versions of all services with resumable streams that this entry has seen itself.
    pub(crate) fn statement(&self, now: Time) -> Statement {
        let services = self.versions.services.iter();
        services
            .map(|(service, known)| (service.clone(), known.seen_ages(now)))
            .collect()
    }

    /// Handles another entry's statement, which was made `age` ago.
    pub(crate) fn handle_statement(
        &mut self,
        now: Time,
        from: holder::Id,
        age: Span,
        statement: &Statement,
        effects: &mut Vec<Effect>,
    ) {
        for (service, versions) in statement {
            let known = self.versions.services.entry(service.clone()).or_default();
            for (version, millis) in versions {
                known.record_heard(now, version, age + Span::from_millis(*millis));
            }
        }
        let made_at = now - age;
        let known = self.releases.stated_at.entry(from).or_insert(made_at);
        *known = made_at.max(*known);
        self.settle_agreements(now, effects);
    }

    /// Lets a request go on whose stream has no record that proves a version, once all entries are known to know a single
    /// one; refuses it if they don't.
    pub(crate) fn await_agreement(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        self.releases.waiting.insert(serial);
        self.settle_agreements(now, effects);
    }

    /// Decides on requests that wait for statements.
    pub(crate) fn settle_agreements(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for serial in self.releases.waiting.clone() {
            let Some(open) = self.requests.get(&serial) else {
                self.releases.waiting.remove(&serial);
                continue;
            };
            match self.agreement(now, open) {
                Agreement::Agreed(version) => {
                    self.releases.waiting.remove(&serial);
                    self.resume_at(now, serial, &version, Source::Agreed, effects);
                }
                Agreement::Impossible(cause) => {
                    let line = Line::info("stream_version_unknown")
                        .with("request", &open.id)
                        .with("cause", cause.as_str())
                        .with("waited_ms", now.since(open.arrived_at).as_millis())
                        .with("list_age_ms", self.list_age(now).as_millis());
                    effects.push(Effect::Log(line));
                    self.releases.waiting.remove(&serial);
                    self.refuse_unknown(now, serial, effects);
                }
                Agreement::Pending => {}
            }
        }
    }

    /// Returns whether all entries are known to know a single version of the service of a request.
    fn agreement(&self, now: Time, open: &Request) -> Agreement {
        let known = self.versions.services.get(&open.service);
        let Some(only) = known.and_then(|known| known.recent_only(now)) else {
            return Agreement::Impossible(Cause::SeveralVersions);
        };
        let default = self.versions.default_of(now, &open.service);
        if default.is_some_and(|default| default != only) {
            return Agreement::Impossible(Cause::NotTheDefault);
        }
        let is_stated = self.knows_entries(now) && self.are_statements_newer(open.arrived_at);
        if is_stated || self.is_list_newer(open.arrived_at) {
            return Agreement::Agreed(only.clone());
        }
        if self.is_any_peer_silent(now) {
            return Agreement::Impossible(Cause::SilentEntry);
        }
        match now.since(open.arrived_at) < AGREEMENT_TIMEOUT {
            true => Agreement::Pending,
            false => Agreement::Impossible(Cause::NoStatements),
        }
    }

    /// Returns whether the list of servers contains all that was there at a time.
    fn is_list_newer(&self, at: Time) -> bool {
        self.servers.position().as_of >= at
    }

    /// Returns whether this entry knows all others, by its own read or by gossip.
    fn knows_entries(&self, now: Time) -> bool {
        let has_found = now >= Time::ZERO + GOSSIP_TIME && self.membership.peers().next().is_some();
        has_found || self.membership.has_read_all()
    }

    /// Returns whether all other entries have made statements since a time. Hubs sum statements up, so that the time of a
    /// single one isn't known.
    fn are_statements_newer(&self, at: Time) -> bool {
        let stated_at = &self.releases.stated_at;
        let is_newer = |(id, _)| {
            let stated_at = stated_at.get(&id);
            stated_at.is_some_and(|stated_at| *stated_at >= at + STATEMENT_DELAY)
        };
        !self.uses_hubs() && self.membership.peers().all(is_newer)
    }

    /// Returns whether another entry has failed or is cut off from this one.
    fn is_any_peer_silent(&self, now: Time) -> bool {
        let timeout = self.failure_timeout();
        let mut peers = self.membership.peers();
        !self.uses_hubs() && peers.any(|(_, peer)| now.since(peer.last_seen) > timeout)
    }
}

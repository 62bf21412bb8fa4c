//! What all entries together know of the software versions that serve.
//!
//! An entry that is cut off from the table service, or was paused, doesn't hear of new servers. A list with a single
//! version then proves nothing about a stream that began elsewhere. So the bulletins of each entry state which versions
//! it knows, and a stream without a record is resumed once the statements of all entries, or the list itself, are newer
//! than the request. That one is newer isn't taken from when it arrives, which may be seconds later than it was made: it
//! has to answer a message that was sent after the request came.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use lease::holder;
use line::Line;
use smol_str::SmolStr;
use watch::report::Echo;

use crate::bulletin::Bulletin;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::hubs::LastMessage;
use crate::request::Request;
use crate::returns::Source;

/// Longest wait for statements that are newer than a request: several rounds of them.
const AGREEMENT_TIMEOUT: Span = Span::from_millis(1_500);
/// The same for a newer list of servers among many entries: a read by one of them, and two rounds in which it is passed on.
const LIST_AGREEMENT_TIMEOUT: Span = Span::from_millis(2_500);
/// Time after the start in which gossip brings all members that another entry knows.
const GOSSIP_TIME: Span = Span::from_millis(2_000);

/// The versions that an entry has seen itself, by service, with the milliseconds since.
pub type Statement = BTreeMap<SmolStr, BTreeMap<SmolStr, u64>>;

/// Statements of the others, and requests that wait for them.
#[derive(Debug, Default)]
pub(crate) struct Releases {
    /// Time after which each entry certainly made its last statement.
    stated_after: BTreeMap<holder::Id, Time>,
    /// Entries that await a statement of this one, with the message that said so.
    awaiting: BTreeMap<holder::Id, LastMessage>,
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
    /// No entry that can be asked has been there for as long as callers return to streams.
    ShortMemory,
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
            Cause::ShortMemory => "short_memory",
            Cause::SilentEntry => "silent_entry",
            Cause::NoStatements => "no_statements",
        }
    }
}

impl Releases {
    /// Forgets the statements of all others but `peers`.
    pub fn retain(&mut self, peers: &[holder::Id]) {
        self.stated_after.retain(|id, _| peers.contains(id));
        self.awaiting.retain(|id, _| peers.contains(id));
    }

    /// Returns whether requests wait for statements of the others.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Records that an entry awaits a statement of this one.
    pub fn record_awaiting(&mut self, from: holder::Id, message: LastMessage) {
        self.awaiting.insert(from, message);
    }

    /// Returns what shows those that await a statement that one made now is newer.
    pub fn take_echoes(&mut self, now: Time) -> Vec<Echo> {
        let awaiting = std::mem::take(&mut self.awaiting).into_iter();
        awaiting
            .map(|(id, message)| message.echo(now, id))
            .collect()
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

    /// Returns the time before now for which the statement names all versions that served, by service, milliseconds.
    pub(crate) fn coverage_millis(&self, now: Time) -> BTreeMap<SmolStr, u64> {
        let services = self.versions.services.iter();
        services
            .map(|(service, known)| (service.clone(), known.own_coverage(now).as_millis()))
            .collect()
    }

    /// Handles the statement in another entry's bulletin, which was made `age` ago, without the time on its way, and after
    /// `made_after`, if that is known.
    pub(crate) fn handle_statement(
        &mut self,
        now: Time,
        from: holder::Id,
        age: Span,
        made_after: Option<Time>,
        bulletin: &Bulletin,
        effects: &mut Vec<Effect>,
    ) {
        let memory = self.versions.memory();
        for (service, versions) in bulletin.versions.iter().flatten() {
            let known = self.versions.services.entry(service.clone()).or_default();
            for (version, millis) in versions {
                let age = age + Span::from_millis(*millis);
                known.record_heard(now, version, age, memory);
            }
            if let Some(millis) = bulletin.versions_known_for.get(service) {
                known.record_stated(now, age + Span::from_millis(*millis));
            }
        }
        if let Some(made_after) = made_after {
            let known = self.releases.stated_after.entry(from).or_default();
            *known = made_after.max(*known);
        }
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
        let span = self.return_span(now, open);
        let Some(only) = known.and_then(|known| known.recent_only(now, span)) else {
            return Agreement::Impossible(Cause::SeveralVersions);
        };
        let default = known.and_then(|known| known.default.as_ref());
        if default.is_some_and(|default| default.version != *only) {
            return Agreement::Impossible(Cause::NotTheDefault);
        }
        if span > self.versions.memory() {
            return Agreement::Impossible(Cause::ShortMemory);
        }
        let is_covered = known.is_some_and(|known| known.coverage(now) >= span);
        let is_stated = self.knows_entries(now) && self.are_statements_newer(open.arrived_at);
        if is_covered && (is_stated || self.is_list_newer(open.arrived_at)) {
            return Agreement::Agreed(only.clone());
        }
        if self.is_any_peer_silent(now) {
            return Agreement::Impossible(Cause::SilentEntry);
        }
        let timeout = match self.uses_hubs() {
            true => LIST_AGREEMENT_TIMEOUT,
            false => AGREEMENT_TIMEOUT,
        };
        match now.since(open.arrived_at) < timeout {
            true => Agreement::Pending,
            false if is_covered => Agreement::Impossible(Cause::NoStatements),
            false => Agreement::Impossible(Cause::ShortMemory),
        }
    }

    /// Returns the time before now in which a caller's stream may have begun.
    pub(crate) fn return_span(&self, now: Time, open: &Request) -> Span {
        self.versions.return_horizon() + now.since(open.arrived_at)
    }

    /// Returns whether all other entries exchange messages with this one, directly or by hubs.
    pub(crate) fn is_in_contact_with_all(&self, now: Time) -> bool {
        let timeout = self.failure_timeout();
        if self.uses_hubs() {
            return self.hub.summed_entries(now, timeout) >= self.membership.peers().count();
        }
        let mut peers = self.membership.peers();
        peers.all(|(_, peer)| now.since(peer.last_seen) <= timeout)
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
        let stated_after = &self.releases.stated_after;
        let is_newer = |(id, _)| stated_after.get(&id).is_some_and(|after| *after >= at);
        !self.uses_hubs() && self.membership.peers().all(is_newer)
    }

    /// Returns whether another entry has failed or is cut off from this one.
    fn is_any_peer_silent(&self, now: Time) -> bool {
        let timeout = self.failure_timeout();
        let mut peers = self.membership.peers();
        !self.uses_hubs() && peers.any(|(_, peer)| now.since(peer.last_seen) > timeout)
    }
}

//! Software versions of each service's replicas, and the default one, whose streams need no record.
//!
//! The table service holds the default of each service in one row, so that all entries, also ones that start
//! later, take the same one for granted. The first entry that finds none proposes the version of most replicas;
//! one whose replicas have been gone for long enough is replaced in the same way.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use line::Line;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use store::call::Address;
use store::call::Call;
use store::call::Check;
use store::call::Outcome;
use store::call::Row;
use store::call::Transaction;
use store::call::Write;

use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::store_calls::Waiter;

/// Table of the default versions, by service.
const TABLE: &str = "stream-defaults";
/// Interval at which the replicas of each version are counted.
const REVIEW_INTERVAL: Span = Span::from_millis(250);
/// Time after the first read of the list of servers in which the others announce themselves.
const SETTLING: Span = Span::from_millis(1_000);
/// The same for entries that leave the proposal to others among many.
const PROPOSAL_DELAY: Span = Span::from_seconds(10);
/// Pause between two calls on one service's default.
const CALL_INTERVAL: Span = Span::from_millis(500);
/// Time after which no caller returns to a stream, beyond the time limits of all routes.
const RETURN_WINDOW: Span = Span::from_seconds(60);

/// The versions of all services that have resumable streams.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    services: BTreeMap<SmolStr, Service>,
    next_review: Time,
}

/// The versions of one service.
#[derive(Debug)]
struct Service {
    /// Replicas that aren't leaving, by version.
    counts: BTreeMap<SmolStr, usize>,
    default: Option<Stored>,
    /// Since when no replica of the default version has been known.
    absent_since: Option<Time>,
    /// When more than one version, or a new one, was last known.
    changed_at: Time,
    /// The version that a call in flight makes the default.
    proposed: Option<SmolStr>,
    calling: bool,
    next_call: Time,
    /// Requests that wait for the default to be known.
    waiting: Vec<u64>,
}

/// A default version as the table service holds it.
#[derive(Clone, Debug)]
struct Stored {
    version: SmolStr,
    revision: u64,
}

impl Service {
    fn new(now: Time) -> Service {
        Service {
            counts: BTreeMap::new(),
            default: None,
            absent_since: None,
            changed_at: now,
            proposed: None,
            calling: false,
            next_call: Time::ZERO,
            waiting: Vec::new(),
        }
    }

    /// Updates the numbers of replicas.
    fn review(&mut self, now: Time, counts: BTreeMap<SmolStr, usize>) {
        if counts.len() > 1 || !counts.keys().eq(self.counts.keys()) {
            self.changed_at = now;
        }
        self.counts = counts;
        self.track_absence(now);
    }

    /// Updates since when the default has had no replicas.
    fn track_absence(&mut self, now: Time) {
        let default = self.default.as_ref();
        let is_absent = default.is_some_and(|default| !self.counts.contains_key(&default.version));
        self.absent_since = is_absent.then(|| self.absent_since.unwrap_or(now));
    }

    /// Returns whether the default has had no replicas for `span`.
    fn is_absent(&self, now: Time, span: Span) -> bool {
        self.absent_since
            .is_some_and(|since| now.since(since) >= span)
    }

    /// Returns whether the default must be read, or replaced.
    fn needs_call(&self, now: Time) -> bool {
        let is_due = !self.calling && now >= self.next_call && !self.counts.is_empty();
        is_due && (self.default.is_none() || self.is_absent(now, RETURN_WINDOW))
    }

    /// Returns the version of most replicas.
    fn most_frequent(&self) -> Option<SmolStr> {
        let most = self.counts.iter().max_by_key(|(_, count)| **count);
        most.map(|(version, _)| version.clone())
    }
}

impl Versions {
    /// Returns the default version, unless another entry may have replaced it since.
    pub fn default_of(&self, now: Time, service: &str) -> Option<&SmolStr> {
        let known = self.services.get(service)?;
        let replaced_from = RETURN_WINDOW.scaled(0.5);
        let default = known.default.as_ref();
        default
            .filter(|_| !known.is_absent(now, replaced_from))
            .map(|default| &default.version)
    }

    /// Returns the default version if a caller that returns now can have begun its stream at no other one.
    pub fn uniform(&self, now: Time, service: &str) -> Option<&SmolStr> {
        let known = self.services.get(service)?;
        let lasting = now.since(known.changed_at) >= RETURN_WINDOW;
        self.only(service)
            .filter(|version| lasting && Some(*version) == self.default_of(now, service))
    }

    /// Returns the version of all replicas, if they run the same.
    pub fn only(&self, service: &str) -> Option<&SmolStr> {
        let counts = &self.services.get(service)?.counts;
        counts.keys().next().filter(|_| counts.len() == 1)
    }

    /// Keeps a request until the service's default version is known.
    pub fn await_default(&mut self, now: Time, service: &SmolStr, serial: u64) {
        let known = self.services.entry(service.clone());
        let known = known.or_insert_with(|| Service::new(now));
        known.waiting.push(serial);
    }

    /// Returns the requests that waited for the service's default version.
    pub fn take_waiting(&mut self, service: &str) -> Vec<u64> {
        let known = self.services.get_mut(service);
        known.map_or_else(Vec::new, |known| std::mem::take(&mut known.waiting))
    }
}

impl Gateway {
    /// Counts the replicas of each version, and reads or replaces defaults.
    pub(crate) fn versions_tick(&mut self, now: Time) {
        if now < self.versions.next_review {
            return;
        }
        self.versions.next_review = now + REVIEW_INTERVAL;
        let Some(catalog) = &self.catalog else {
            return;
        };
        let resumable = catalog.routes().filter(|route| route.repeat.is_resumable());
        let services: BTreeSet<SmolStr> = resumable
            .flat_map(|route| &route.shares)
            .map(|share| share.service.clone())
            .collect();
        let mut counts: BTreeMap<&SmolStr, BTreeMap<SmolStr, usize>> = BTreeMap::new();
        for record in self.servers.iter() {
            if !self.servers.is_leaving(&record.server.incarnation) {
                let of_service = counts.entry(&record.server.service).or_default();
                *of_service.entry(record.server.version.clone()).or_default() += 1;
            }
        }
        let mut due = Vec::new();
        for service in services {
            let known = self.versions.services.entry(service.clone());
            let known = known.or_insert_with(|| Service::new(now));
            known.review(now, counts.remove(&service).unwrap_or_default());
            if known.needs_call(now) {
                known.calling = true;
                due.push(service);
            }
        }
        for service in due {
            let address = Address::new(TABLE, service.clone());
            self.call_store(Waiter::DefaultVersion(service), Call::Get { address });
        }
    }

    /// Handles the answer to a read or write of a service's default version.
    pub(crate) fn handle_default_version(
        &mut self,
        now: Time,
        service: &SmolStr,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.versions.services.get_mut(service) else {
            return;
        };
        known.calling = false;
        known.next_call = now + CALL_INTERVAL;
        let proposed = known.proposed.take();
        match outcome {
            Outcome::Row(row) => self.handle_default_row(now, service, row, effects),
            Outcome::Committed(revision) => {
                if let Some(version) = proposed {
                    self.set_default(now, service, Stored { version, revision }, effects);
                }
            }
            Outcome::Conflict(rows) => {
                let row = rows.into_iter().find_map(|(_, row)| row);
                if let Some(default) = row.and_then(decode) {
                    self.set_default(now, service, default, effects);
                }
            }
            Outcome::Rows { .. } | Outcome::Unavailable | Outcome::Unknown => {}
        }
    }

    fn handle_default_row(
        &mut self,
        now: Time,
        service: &SmolStr,
        row: Option<Row>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.versions.services.get(service) else {
            return;
        };
        let revision = row.as_ref().map(|row| row.revision);
        let stored = row.and_then(decode);
        let is_same = match (&stored, &known.default) {
            (Some(stored), Some(default)) => stored.version == default.version,
            _ => false,
        };
        match stored {
            Some(stored) if !(is_same && known.is_absent(now, RETURN_WINDOW)) => {
                self.set_default(now, service, stored, effects);
            }
            _ if self.may_propose(now) => self.propose_default(service, revision),
            _ => {}
        }
    }

    /// Returns whether this entry proposes a default: once the servers have had time to announce themselves, and
    /// among many entries first one of a few, so that they don't all write at once.
    fn may_propose(&self, now: Time) -> bool {
        let known_for = now.since(self.servers_known_since);
        let mut readers = self.roster.readers().iter();
        let is_first = !self.uses_hubs() || readers.any(|id| *id == self.identity.incarnation);
        known_for >= if is_first { SETTLING } else { PROPOSAL_DELAY }
    }

    /// Makes the version of most replicas the default, unless another entry was faster.
    fn propose_default(&mut self, service: &SmolStr, revision: Option<u64>) {
        let Some(known) = self.versions.services.get_mut(service) else {
            return;
        };
        let Some(version) = known.most_frequent() else {
            return;
        };
        known.calling = true;
        known.proposed = Some(version.clone());
        let address = Address::new(TABLE, service.clone());
        let transaction = Transaction {
            token: service.clone(),
            checks: vec![Check {
                address: address.clone(),
                revision,
            }],
            writes: vec![Write {
                address,
                value: json!({ "version": version }),
            }],
        };
        let waiter = Waiter::DefaultVersion(service.clone());
        self.call_store(waiter, Call::Transact(transaction));
    }

    fn set_default(
        &mut self,
        now: Time,
        service: &SmolStr,
        default: Stored,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.versions.services.get_mut(service) else {
            return;
        };
        let line = Line::info("default_version")
            .with("service", service)
            .with("version", &default.version)
            .with("revision", default.revision);
        effects.push(Effect::Log(line));
        let version = default.version.clone();
        known.default = Some(default);
        known.absent_since = None;
        known.track_absence(now);
        self.resume_waiting(now, service, &version, effects);
    }
}

/// Decodes a default version; a malformed one is replaced.
fn decode(row: Row) -> Option<Stored> {
    let version = row.value.get("version").and_then(Value::as_str)?;
    Some(Stored {
        version: SmolStr::new(version),
        revision: row.revision,
    })
}

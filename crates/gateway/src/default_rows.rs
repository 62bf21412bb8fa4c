//! Rows of the table service that hold the default version of each service.
//!
//! The first entry that finds none proposes the version of most replicas. A default whose replicas have been gone for
//! long enough is replaced in two steps: it is marked as retiring, and then replaced by an entry whose list shows that
//! its replicas were still gone when it was marked. So a row without the mark proves that no replacement is on its way, which the
//! table service might apply seconds late. A marked default whose replicas are back is written without the mark.
//!
//! A row states since when it has been in force, and the era of the table service in which it was written. In a later era
//! streams may have lost their records, so the first entry that reads such a row writes it again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use line::Line;
use rand::RngExt;
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
use store::revision::Revision;

use crate::catalog::Route;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::store_calls::Waiter;
use crate::versions::ListState;
use crate::versions::REVIEW_INTERVAL;
use crate::versions::Service;
use crate::versions::Stored;

/// Table of the default versions, by service.
const TABLE: &str = "stream-defaults";
/// Time after the first read of the list of servers in which the others announce themselves.
const SETTLING: Span = Span::from_millis(1_000);
/// The same for entries that leave the proposal to others among many.
const PROPOSAL_DELAY: Span = Span::from_seconds(10);
/// Pause between two calls on one service's default.
const CALL_INTERVAL: Span = Span::from_millis(500);
/// Time from which a default in force proves anything, beyond that in which callers return to older streams. Longer than any
/// difference of clocks.
const PROOF_MARGIN: Span = Span::from_seconds(45);
/// Time for each entry over which all of them read the defaults again after a restore or a replacement.
const REREAD_SPREAD: Span = Span::from_millis(5);

impl Gateway {
    /// Counts the replicas of each version, and reads or replaces defaults.
    pub(crate) fn versions_tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.versions.next_review {
            return;
        }
        self.versions.next_review = now + REVIEW_INTERVAL;
        let Some(catalog) = &self.catalog else {
            return;
        };
        let resumable = catalog.routes().filter(|route| route.repeat.is_resumable());
        let resumable: Vec<&Route> = resumable.collect();
        for route in &resumable {
            self.versions.record_limit(route.timeout);
        }
        let services: BTreeSet<SmolStr> = resumable
            .iter()
            .flat_map(|route| &route.shares)
            .map(|share| share.service.clone())
            .collect();
        let mut counts: BTreeMap<SmolStr, BTreeMap<SmolStr, usize>> = BTreeMap::new();
        let mut listed: BTreeMap<SmolStr, BTreeSet<SmolStr>> = BTreeMap::new();
        for record in self.servers.iter() {
            let server = &record.server;
            if self.servers.is_leaving(&server.incarnation) {
                // Its streams go on, and their callers may return.
                self.versions
                    .record_seen(now, &server.service, &server.version);
            } else {
                let of_service = counts.entry(server.service.clone()).or_default();
                *of_service.entry(server.version.clone()).or_default() += 1;
                if record.missing_since.is_none() {
                    let of_service = listed.entry(server.service.clone()).or_default();
                    of_service.insert(server.version.clone());
                }
            }
        }
        let list = ListState {
            as_of: self.servers.position().as_of,
            is_outdated: self.is_list_outdated(),
        };
        for service in services {
            let counts = counts.remove(&service).unwrap_or_default();
            let listed = listed.remove(&service).unwrap_or_default();
            self.review_service(now, service, counts, &listed, list);
        }
        self.settle_agreements(now, effects);
    }

    /// Updates the numbers of a service's replicas, and reads its default if that is due.
    fn review_service(
        &mut self,
        now: Time,
        service: SmolStr,
        counts: BTreeMap<SmolStr, usize>,
        listed: &BTreeSet<SmolStr>,
        list: ListState,
    ) {
        let memory = self.versions.memory();
        let known = self.versions.services.entry(service.clone()).or_default();
        let was_mixed = known.is_mixed();
        known.review(now, counts, listed, list, memory);
        let lacks_reread = known.lacks_reread();
        let is_due = known.needs_call(now);
        if is_due {
            known.begin_call(None);
        }
        let becomes_mixed = known.is_mixed() && !was_mixed;
        if becomes_mixed && self.versions.needs_records(now, &service) {
            self.streams.record_all_begun(&service);
        }
        if lacks_reread {
            let at = now + self.reread_delay();
            if let Some(known) = self.versions.services.get_mut(&service) {
                known.read_again(at);
            }
        }
        if is_due {
            // A scan also states the revision where there is no row.
            let call = Call::Scan {
                table: SmolStr::new_static(TABLE),
                prefix: service.clone(),
                after: SmolStr::default(),
                limit: 1,
            };
            self.call_store(Waiter::DefaultVersion(service), call);
        }
    }

    /// Returns how long ago the list of servers was requested that this entry knows.
    pub(crate) fn list_age(&self, now: Time) -> Span {
        now.since(self.servers.position().as_of)
    }

    /// Returns whether the list of servers may be out of date.
    pub(crate) fn is_list_outdated(&self) -> bool {
        self.list_unavailable || self.store_health.is_unavailable()
    }

    /// Follows the era of the table service: after a restore, all defaults are read again, and stages of roll-outs written.
    pub(crate) fn observe_era(&mut self, now: Time, revision: u64, effects: &mut Vec<Effect>) {
        let era = Revision::unpacked(revision).era;
        let known = self
            .store_era
            .replace(era.max(self.store_era.unwrap_or(era)));
        if known.is_none_or(|known| known >= era) {
            return;
        }
        let line = Line::warn("table_service_restored").with("era", era);
        effects.push(Effect::Log(line));
        self.rewrite_stages();
        let at = now + self.reread_delay();
        for known in self.versions.services.values_mut() {
            known.read_again(at);
        }
    }

    /// Draws a delay so that all entries don't read the defaults at the same moment.
    fn reread_delay(&mut self) -> Span {
        let spread = REREAD_SPREAD.times(u64::from(self.entry_count()));
        spread.scaled(self.random.random::<f64>())
    }

    /// Returns the revisions of the defaults that have replaced others, by service.
    pub(crate) fn default_revisions(&self) -> BTreeMap<SmolStr, u64> {
        let services = self.versions.services.iter();
        services
            .filter_map(|(service, known)| Some((service.clone(), known.replacement_revision()?)))
            .collect()
    }

    /// Handles the revisions of the defaults that another entry goes by.
    pub(crate) fn handle_default_revisions(
        &mut self,
        now: Time,
        revisions: &BTreeMap<SmolStr, u64>,
    ) {
        if revisions.is_empty() {
            return;
        }
        let at = now + self.reread_delay();
        for (service, revision) in revisions {
            if let Some(known) = self.versions.services.get_mut(service) {
                known.record_revision(*revision, at);
            }
        }
    }

    /// Returns the time for which a new default proves nothing.
    fn proof_delay(&self) -> Span {
        self.versions.return_horizon() + PROOF_MARGIN
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
            Outcome::Rows { rows, .. } => {
                let row = rows.into_iter().find(|row| row.key == *service);
                self.handle_default_row(now, service, row, effects);
            }
            Outcome::Committed(revision) => {
                let is_current = |stored: &Stored| Revision::unpacked(revision).era == stored.era;
                if let Some(stored) = proposed.filter(is_current) {
                    if stored.is_retiring {
                        // Shows whether the replicas are still gone.
                        effects.push(Effect::ReadServers);
                    }
                    self.set_default(now, service, Stored { revision, ..stored }, effects);
                }
            }
            Outcome::Conflict(rows) => {
                let row = rows.into_iter().find_map(|(_, row)| row);
                let stored = row.and_then(|row| self.decode(now, row));
                if let Some(stored) = stored.filter(|stored| self.is_of_current_era(stored)) {
                    self.set_default(now, service, stored, effects);
                }
            }
            Outcome::Row(_) | Outcome::Unavailable | Outcome::Unknown => {
                self.resume_waiting(now, service, effects);
            }
        }
    }

    fn handle_default_row(
        &mut self,
        now: Time,
        service: &SmolStr,
        row: Option<Row>,
        effects: &mut Vec<Effect>,
    ) {
        if row.is_none() && self.store_era.unwrap_or(0) == 0 {
            // Nothing has served before the first default of a table service that was never restored.
            let span = self.versions.memory();
            self.versions.extend_coverage(now, service, span);
        }
        let Some(known) = self.versions.services.get(service) else {
            return;
        };
        let revision = row.as_ref().map(|row| row.revision);
        let stored = row.and_then(|row| self.decode(now, row));
        let Some(stored) = stored else {
            if self.may_propose(now) {
                let candidate = known.candidate();
                self.propose_default(now, service, revision, candidate);
            }
            return;
        };
        let default = known.default.as_ref();
        let is_same = default.is_some_and(|default| default.version == stored.version);
        let must_be_replaced = is_same && known.is_replaceable(now);
        let candidate = known.candidate();
        if !self.is_of_current_era(&stored) {
            return self.propose_default(now, service, revision, Some(stored.version));
        }
        if must_be_replaced && self.may_propose(now) && !self.is_list_outdated() {
            match stored.is_retiring {
                false => return self.write_mark(service, stored, true),
                true if self.has_list_since_mark(service) => {
                    return self.propose_default(now, service, revision, candidate);
                }
                true => {}
            }
        }
        self.set_default(now, service, stored.clone(), effects);
        let known = self.versions.services.get(service);
        if known.is_some_and(Service::is_back) {
            self.write_mark(service, stored, false);
        }
    }

    /// Returns whether the list has all that was there when this entry learned that the default is to be replaced.
    fn has_list_since_mark(&self, service: &str) -> bool {
        let known = self.versions.services.get(service);
        let marked_at = known.and_then(|known| known.retiring_since);
        marked_at.is_some_and(|at| self.servers.position().as_of >= at)
    }

    /// Marks a default as retiring, or removes the mark.
    fn write_mark(&mut self, service: &SmolStr, stored: Stored, is_retiring: bool) {
        let revision = Some(stored.revision);
        let marked = Stored {
            is_retiring,
            ..stored
        };
        self.write_default(service, revision, marked);
    }

    /// Returns whether the table service wasn't restored since a default was written.
    fn is_of_current_era(&self, stored: &Stored) -> bool {
        stored.era == self.store_era.unwrap_or(0)
    }

    /// Returns whether this entry proposes a default: once the servers have had time to announce themselves, and
    /// among many entries first one of a few, so that they don't all write at once.
    fn may_propose(&self, now: Time) -> bool {
        let known_for = now.since(self.servers_known_since);
        let mut readers = self.roster.readers().iter();
        let is_first = !self.uses_hubs() || readers.any(|id| *id == self.identity.incarnation);
        known_for >= if is_first { SETTLING } else { PROPOSAL_DELAY }
    }

    /// Makes a version the default, unless another entry was faster; `revision` is that of the row, if there is one.
    fn propose_default(
        &mut self,
        now: Time,
        service: &SmolStr,
        revision: Option<u64>,
        version: Option<SmolStr>,
    ) {
        let Some(version) = version else {
            return;
        };
        let era = self.store_era.unwrap_or(0);
        // A service that was never restored has lost no row: streams can't have begun at another default.
        let is_first = revision.is_none() && era == 0;
        let unix_ms = self.usage.unix_ms(now);
        let proposed = Stored {
            version,
            revision: 0,
            era,
            since_unix_ms: (!is_first).then_some(unix_ms),
            is_retiring: false,
            proven_from: if is_first {
                Time::ZERO
            } else {
                now + self.proof_delay()
            },
        };
        self.write_default(service, revision, proposed);
    }

    /// Writes a default, unless the row has changed since `revision`.
    fn write_default(&mut self, service: &SmolStr, revision: Option<u64>, proposed: Stored) {
        let address = Address::new(TABLE, service.clone());
        let transaction = Transaction {
            token: service.clone(),
            checks: vec![Check {
                address: address.clone(),
                revision,
            }],
            writes: vec![Write {
                address,
                value: encode(&proposed),
            }],
        };
        if let Some(known) = self.versions.services.get_mut(service) {
            known.begin_call(Some(proposed));
        }
        let waiter = Waiter::DefaultVersion(service.clone());
        self.call_store(waiter, Call::Transact(transaction));
    }

    /// Takes over the default that the table service holds. If it is a new one, all streams that began here are
    /// recorded.
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
        let in_force = |stored: &Stored| (stored.version.clone(), stored.era, stored.since_unix_ms);
        let before = known.default.as_ref().map(in_force);
        let is_new = before.is_some_and(|before| before != in_force(&default));
        let line = Line::info("default_version")
            .with("service", service)
            .with("version", &default.version)
            .with("revision", default.revision)
            .with("retiring", default.is_retiring)
            .with("proven_in_ms", default.proven_from.since(now).as_millis());
        known.set_default(now, default);
        let repeated = match is_new && self.versions.needs_records(now, service) {
            true => self.streams.record_all_begun(service),
            false => 0,
        };
        effects.push(Effect::Log(line.with("recorded", repeated)));
        self.resume_waiting(now, service, effects);
    }

    /// Decodes a default version; a malformed one is replaced.
    fn decode(&self, now: Time, row: Row) -> Option<Stored> {
        let version = row.value.get("version").and_then(Value::as_str)?;
        let since_unix_ms = row.value.get("since_ms").and_then(Value::as_u64);
        let proven_from = since_unix_ms.map_or(Time::ZERO, |since| {
            let unix_ms = self.usage.unix_ms(now);
            let delay = self.proof_delay();
            let left = (since + delay.as_millis()).saturating_sub(unix_ms);
            now + Span::from_millis(left).min(delay)
        });
        let is_retiring = row.value.get("retiring").and_then(Value::as_bool);
        Some(Stored {
            version: SmolStr::new(version),
            revision: row.revision,
            era: row.value.get("era").and_then(Value::as_u64).unwrap_or(0),
            since_unix_ms,
            is_retiring: is_retiring.unwrap_or(false),
            proven_from,
        })
    }
}

fn encode(stored: &Stored) -> Value {
    let mut value = json!({"version": stored.version, "era": stored.era});
    if let Some(since) = stored.since_unix_ms {
        value["since_ms"] = json!(since);
    }
    if stored.is_retiring {
        value["retiring"] = json!(true);
    }
    value
}

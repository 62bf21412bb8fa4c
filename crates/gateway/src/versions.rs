//! Software versions of each service's replicas, and the default one, whose streams need no record.
//!
//! The table service holds the default of each service in one row ([`crate::default_rows`]), so that all entries,
//! also ones that start later, take the same one for granted.
//!
//! That a stream has no record proves that the default version began it, unless the record may have been lost, or
//! the stream may have begun before this default was in force. So the proof counts only some time after the row
//! was written, and not while the table service may have been restored or others may have replaced the default
//! since this entry read it ([`crate::trust`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::coverage::Coverage;
use crate::trust::Trust;

/// Interval at which the replicas of each version are counted.
pub(crate) const REVIEW_INTERVAL: Span = Span::from_millis(250);
/// Time after which no caller returns to a stream, beyond the time limit of its route.
pub(crate) const RETURN_WINDOW: Span = Span::from_seconds(60);
/// Time without replicas after which the default version is replaced.
pub(crate) const REPLACE_AFTER: Span = Span::from_seconds(60);
/// Longest time for which a request waits until it is known what began its stream.
const LONGEST_WAIT: Span = Span::from_seconds(10);
/// Time between two reviews from which this entry counts as paused meanwhile: versions may have come and gone.
const PAUSE: Span = Span::from_seconds(2);
/// Time after the default may have been replaced in which streams at it still begin unrecorded. Invariant: shorter than the
/// time for which a new default proves nothing, less that for which callers return.
const UNRECORDED_GRACE: Span = Span::from_seconds(40);

/// The versions of all services that have resumable streams.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    pub services: BTreeMap<SmolStr, Service>,
    pub next_review: Time,
    /// Longest time limit of a route with resumable streams so far.
    longest_limit: Span,
}

/// The versions of one service.
#[derive(Debug, Default)]
pub(crate) struct Service {
    /// Replicas that aren't leaving, by version.
    counts: BTreeMap<SmolStr, usize>,
    /// When this entry last knew a replica of each version, within [`Versions::memory`]. Invariant: has every version whose
    /// replicas this entry may use.
    seen: BTreeMap<SmolStr, Time>,
    /// The same according to other entries.
    heard: BTreeMap<SmolStr, Time>,
    /// Time that `seen` and `heard` cover; `None` before the list of servers is known.
    coverage: Option<Coverage>,
    /// As of when the list last had a replica of each version that wasn't leaving.
    listed: BTreeMap<SmolStr, Time>,
    pub default: Option<Stored>,
    /// For how long `default` holds.
    trust: Trust,
    /// When the default must be read again, since it may have been lost or replaced.
    reread_at: Option<Time>,
    /// When the replicas were last counted.
    reviewed_at: Option<Time>,
    /// Since when the list, which was never out of date meanwhile, has had no replica of the default version.
    absent_since: Option<Time>,
    /// When this entry learned that the default is to be replaced.
    pub retiring_since: Option<Time>,
    /// The default that a call in flight writes.
    pub proposed: Option<Stored>,
    /// `listed` when the call in flight was made.
    listed_at_call: BTreeMap<SmolStr, Time>,
    pub calling: bool,
    pub next_call: Time,
    /// Requests that wait for the default to be known.
    waiting: Vec<u64>,
}

/// A default version as the table service holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Stored {
    pub version: SmolStr,
    /// Revision of the row; 0 until that is known.
    pub revision: u64,
    /// Era of the table service in which the row was written.
    pub era: u64,
    /// Unix time from which it has been in force, milliseconds; `None` if from the start of the system.
    pub since_unix_ms: Option<u64>,
    /// Whether it is to be replaced, since it has had no replicas for [`REPLACE_AFTER`].
    pub is_retiring: bool,
    /// Time from which the absence of a record proves that this version began a stream.
    pub proven_from: Time,
}

/// What an entry knows of the list of servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListState {
    /// The list has all that was there then.
    pub as_of: Time,
    pub is_outdated: bool,
}

impl Service {
    /// Updates the numbers of replicas; versions are remembered for `memory`.
    pub fn review(
        &mut self,
        now: Time,
        counts: BTreeMap<SmolStr, usize>,
        listed: &BTreeSet<SmolStr>,
        list: ListState,
        memory: Span,
    ) {
        let reviewed_at = self.reviewed_at.replace(now);
        if reviewed_at.is_some_and(|at| now.since(at) >= PAUSE) {
            self.absent_since = None;
            self.coverage = Some(Coverage::resumed(now));
        }
        for version in counts.keys() {
            self.seen.insert(version.clone(), now);
        }
        for version in listed {
            self.listed.insert(version.clone(), list.as_of);
        }
        self.coverage.get_or_insert_with(|| Coverage::new(now));
        let is_recent = |_: &SmolStr, at: &mut Time| now.since(*at) < memory;
        self.seen.retain(is_recent);
        self.heard.retain(is_recent);
        self.listed.retain(is_recent);
        self.counts = counts;
        let default = self.default.as_ref();
        if let Some(default) = default.filter(|default| listed.contains(&default.version)) {
            match default.is_retiring {
                true => self.trust.end(),
                false => self.trust.record_listed(list.as_of),
            }
        }
        self.track_absence(now, list.is_outdated);
    }

    /// Records that another entry knew a replica of a version some time ago.
    pub fn record_heard(&mut self, now: Time, version: &SmolStr, age: Span, memory: Span) {
        if age >= memory {
            return;
        }
        let at = now - age;
        let known = self.heard.entry(version.clone()).or_insert(at);
        *known = at.max(*known);
    }

    /// Records that nothing but the known versions served in a time before now.
    fn extend_coverage(&mut self, now: Time, span: Span) {
        if let Some(coverage) = &mut self.coverage {
            coverage.extend(now, span);
        }
    }

    /// Records that another entry stated the versions of a time before now.
    pub fn record_stated(&mut self, now: Time, span: Span) {
        if let Some(coverage) = &mut self.coverage {
            coverage.record_stated(now, span);
        }
    }

    /// Returns the time before now for which this entry itself knows all versions that served.
    pub fn own_coverage(&self, now: Time) -> Span {
        let coverage = self.coverage.as_ref();
        coverage.map_or(Span::ZERO, |coverage| coverage.own_span(now))
    }

    /// Returns the time before now for which all versions that served are known.
    pub fn coverage(&self, now: Time) -> Span {
        let coverage = self.coverage.as_ref();
        coverage.map_or(Span::ZERO, |coverage| coverage.span(now))
    }

    /// Returns the versions that this entry has known, with the milliseconds since.
    pub fn seen_ages(&self, now: Time) -> BTreeMap<SmolStr, u64> {
        let ages = self.seen.iter();
        ages.map(|(version, at)| (version.clone(), now.since(*at).as_millis()))
            .collect()
    }

    /// Returns the version of all replicas that any entry has known within `span`, if it is the same.
    /// [`Service::coverage`] states whether that includes all versions of this time.
    pub fn recent_only(&self, now: Time, span: Span) -> Option<&SmolStr> {
        let known = self.seen.iter().chain(&self.heard);
        let mut recent = known.filter(|(_, at)| now.since(**at) < span);
        let (first, _) = recent.next()?;
        recent.all(|(version, _)| version == first).then_some(first)
    }

    /// Returns whether several versions have replicas.
    pub fn is_mixed(&self) -> bool {
        self.counts.len() > 1
    }

    /// Returns whether the default may have been replaced, and no time is set at which it is read again.
    pub fn lacks_reread(&self) -> bool {
        self.trust.must_reread() && self.reread_at.is_none()
    }

    /// Requires that the default is read again at a time; until then the absence of a record proves nothing.
    pub fn read_again(&mut self, at: Time) {
        self.reread_at = Some(at);
    }

    /// Records the revision of a default that another entry goes by; a newer one than the known is read at `at`.
    pub fn record_revision(&mut self, revision: u64, at: Time) {
        let default = self.default.as_ref();
        if default.is_some_and(|default| default.revision < revision) {
            self.trust.end();
            self.reread_at = Some(self.reread_at.map_or(at, |due| due.min(at)));
        }
    }

    /// Returns the revision of a default that has replaced another one.
    pub fn replacement_revision(&self) -> Option<u64> {
        let default = self.default.as_ref();
        let replacement = default.filter(|default| default.since_unix_ms.is_some());
        replacement.map(|default| default.revision)
    }

    /// Prepares a call that reads or writes the default.
    pub fn begin_call(&mut self, proposed: Option<Stored>) {
        self.calling = true;
        self.proposed = proposed;
        self.listed_at_call = self.listed.clone();
    }

    /// Takes over the default that the table service holds.
    pub fn set_default(&mut self, now: Time, default: Stored) {
        let before = self.default.as_ref();
        if before.is_some_and(|before| before.version != default.version) {
            self.absent_since = None;
        }
        self.trust = match default.is_retiring {
            true => Trust::none(),
            false => Trust::new(self.listed_at_call.get(&default.version).copied()),
        };
        let is_known = before.is_some_and(|before| before.revision == default.revision);
        let known_since = self.retiring_since.filter(|_| is_known);
        self.retiring_since = default.is_retiring.then(|| known_since.unwrap_or(now));
        self.default = Some(default);
        self.reread_at = self.reread_at.filter(|at| *at > now);
        self.track_absence(now, false);
    }

    /// Updates since when the default has had no replicas.
    fn track_absence(&mut self, now: Time, is_outdated: bool) {
        let default = self.default.as_ref();
        // Also replicas that leave are there, as others may not know that they do.
        let is_absent =
            default.is_some_and(|default| self.seen.get(&default.version) != Some(&now));
        let is_certain = is_absent && !is_outdated;
        self.absent_since = is_certain.then(|| self.absent_since.unwrap_or(now));
    }

    /// Returns whether no entry has known a replica of the default for [`REPLACE_AFTER`].
    pub fn is_replaceable(&self, now: Time) -> bool {
        let heard = |default: &Stored| self.heard.get(&default.version).copied();
        let heard_at = self.default.as_ref().and_then(heard);
        let is_unheard = heard_at.is_none_or(|at| now.since(at) >= REPLACE_AFTER);
        let is_absent = |since: Time| now.since(since) >= REPLACE_AFTER;
        is_unheard && self.absent_since.is_some_and(is_absent)
    }

    /// Returns whether the default has replicas although it is to be replaced.
    pub fn is_back(&self) -> bool {
        let default = self.default.as_ref();
        default.is_some_and(|default| {
            default.is_retiring && self.counts.contains_key(&default.version)
        })
    }

    /// Returns whether the default must be read, or replaced.
    pub fn needs_call(&self, now: Time) -> bool {
        let is_due = !self.calling && now >= self.next_call && !self.counts.is_empty();
        let must_reread = self.reread_at.is_some_and(|at| now >= at);
        is_due && (self.default.is_none() || must_reread || self.is_replaceable(now))
    }

    /// Returns whether a call that reads the default is under way, or about to be made.
    pub fn awaits_call(&self, now: Time) -> bool {
        let is_due = self.reread_at.is_some() && !self.counts.is_empty();
        self.default.is_none() || self.calling || is_due || self.needs_call(now)
    }

    /// Returns the version to propose as default: the present one while it has replicas, else that of most replicas.
    pub fn candidate(&self) -> Option<SmolStr> {
        let default = self.default.as_ref().map(|default| &default.version);
        let present = default.filter(|version| self.counts.contains_key(*version));
        let most = self.counts.iter().max_by_key(|(_, count)| **count);
        present.or(most.map(|(version, _)| version)).cloned()
    }

    /// Returns the default version, if it certainly is the default now.
    fn certain_default(&self, now: Time) -> Option<&Stored> {
        let default = self.default.as_ref();
        default.filter(|_| self.trust.held(now, Span::ZERO))
    }

    /// Returns whether the absence of a record proves that the default version began a stream.
    fn is_proven(&self, now: Time) -> bool {
        let default = self.certain_default(now);
        let in_force = default.is_some_and(|default| now >= default.proven_from);
        in_force && self.reread_at.is_none()
    }

    /// Returns whether a stream may begin at the default version without a record. Without the table service nothing
    /// could be recorded; then it may for as long as all entries are in contact (`is_agreed`) and name no newer default.
    fn needs_no_record(&self, now: Time, is_agreed: bool) -> bool {
        let is_known = self.default.is_some() && !self.trust.must_reread();
        is_known && (is_agreed || self.trust.held(now, UNRECORDED_GRACE))
    }
}

impl Versions {
    /// Records the time limit of a route with resumable streams.
    pub fn record_limit(&mut self, limit: Span) {
        self.longest_limit = self.longest_limit.max(limit);
    }

    /// Returns the time after the start of a stream after which no caller returns to it.
    pub fn return_horizon(&self) -> Span {
        self.longest_limit + RETURN_WINDOW
    }

    /// Returns the time for which versions are remembered: callers that returned in time may wait.
    pub fn memory(&self) -> Span {
        self.return_horizon() + LONGEST_WAIT
    }

    /// Returns the default version, if it certainly is the default now.
    pub fn default_of(&self, now: Time, service: &str) -> Option<&SmolStr> {
        let default = self.services.get(service)?.certain_default(now);
        default.map(|default| &default.version)
    }

    /// Returns the version that began all streams without a record.
    pub fn proven_default(&self, now: Time, service: &str) -> Option<&SmolStr> {
        let known = self.services.get(service)?;
        let default = known.default.as_ref().filter(|_| known.is_proven(now));
        default.map(|default| &default.version)
    }

    /// Returns the version at which streams begin without a record.
    pub fn unrecorded_version(
        &self,
        now: Time,
        service: &str,
        is_agreed: bool,
    ) -> Option<&SmolStr> {
        let known = self.services.get(service)?;
        let default = known.default.as_ref();
        default
            .filter(|_| known.needs_no_record(now, is_agreed))
            .map(|default| &default.version)
    }

    /// Returns whether also streams of the default version are recorded, since the absence of a record proves nothing
    /// for a while.
    pub fn needs_records(&self, now: Time, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| known.is_mixed() && !known.is_proven(now))
    }

    /// Returns the version of all replicas, if they run the same.
    pub fn only(&self, service: &str) -> Option<&SmolStr> {
        let counts = &self.services.get(service)?.counts;
        counts.keys().next().filter(|_| counts.len() == 1)
    }

    /// Records that a replica of a version serves, if streams of its service can be resumed.
    pub fn record_seen(&mut self, now: Time, service: &str, version: &SmolStr) {
        if let Some(known) = self.services.get_mut(service) {
            known.seen.insert(version.clone(), now);
        }
    }

    /// Records that nothing but the known versions of a service served in a time before now.
    pub fn extend_coverage(&mut self, now: Time, service: &str, span: Span) {
        if let Some(known) = self.services.get_mut(service) {
            known.extend_coverage(now, span);
        }
    }

    /// Returns whether the service's default version may be known or certain soon.
    pub fn awaits_default(&self, now: Time, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_none_or(|known| known.awaits_call(now))
    }

    /// Keeps a request until the service's default version is known.
    pub fn await_default(&mut self, service: &SmolStr, serial: u64) {
        let known = self.services.entry(service.clone()).or_default();
        known.waiting.push(serial);
    }

    /// Returns the requests that waited for the service's default version.
    pub fn take_waiting(&mut self, service: &str) -> Vec<u64> {
        let known = self.services.get_mut(service);
        known.map_or_else(Vec::new, |known| std::mem::take(&mut known.waiting))
    }
}

//! Software versions of each service's replicas, and the default one, whose streams need no record.
//!
//! The table service holds the default of each service in one row ([`crate::default_rows`]), so that all entries,
//! also ones that start later, take the same one for granted.
//!
//! That a stream has no record proves that the default version began it, unless the record may have been lost, or
//! the stream may have begun before this default was in force. So the proof counts only some time after the row
//! was written, and not while the table service may have been restored or others may have replaced the default
//! since this entry read it.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use smol_str::SmolStr;

use crate::coverage::Coverage;

/// Interval at which the replicas of each version are counted.
pub(crate) const REVIEW_INTERVAL: Span = Span::from_millis(250);
/// Time after which no caller returns to a stream, beyond the time limits of all routes.
pub(crate) const RETURN_WINDOW: Span = Span::from_seconds(60);
/// Time after which an entry without news of the default version's replicas assumes that another one may soon replace
/// it: half of [`RETURN_WINDOW`].
const DOUBT_AFTER: Span = Span::from_seconds(30);
/// Time after which the list of servers has reached all entries that can replace the default version.
const LIST_DELAY: Span = Span::from_seconds(5);

/// The versions of all services that have resumable streams.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    pub services: BTreeMap<SmolStr, Service>,
    pub next_review: Time,
}

/// The versions of one service.
#[derive(Debug, Default)]
pub(crate) struct Service {
    /// Replicas that aren't leaving, by version.
    counts: BTreeMap<SmolStr, usize>,
    /// When this entry last knew a replica of each version, within [`RETURN_WINDOW`]. Invariant: has every version whose
    /// replicas this entry may use.
    seen: BTreeMap<SmolStr, Time>,
    /// The same according to other entries.
    heard: BTreeMap<SmolStr, Time>,
    /// Time that `seen` and `heard` cover; `None` before the list of servers is known.
    coverage: Option<Coverage>,
    pub default: Option<Stored>,
    /// When the default must be read again, since it may have been lost or replaced.
    reread_at: Option<Time>,
    /// Since when no replica of the default version has been known.
    absent_since: Option<Time>,
    /// The default that a call in flight writes.
    pub proposed: Option<Stored>,
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
    /// Time from which the absence of a record proves that this version began a stream.
    pub proven_from: Time,
}

impl Service {
    /// Updates the numbers of replicas, according to a list that was out of date for `list_lag`.
    pub fn review(&mut self, now: Time, counts: BTreeMap<SmolStr, usize>, list_lag: Span) {
        for version in counts.keys() {
            self.seen.insert(version.clone(), now);
        }
        self.coverage.get_or_insert_with(|| Coverage::new(now));
        let is_recent = |_: &SmolStr, at: &mut Time| now.since(*at) < RETURN_WINDOW;
        self.seen.retain(is_recent);
        self.heard.retain(is_recent);
        self.counts = counts;
        self.track_absence(now);
        if self.is_absent(now, DOUBT_AFTER) || list_lag >= DOUBT_AFTER {
            self.reread_at = Some(now + LIST_DELAY);
        }
    }

    /// Records that another entry knew a replica of a version some time ago.
    pub fn record_heard(&mut self, now: Time, version: &SmolStr, age: Span) {
        if age >= RETURN_WINDOW {
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

    /// Returns the version of all replicas that any entry has known within [`RETURN_WINDOW`], if it is the same.
    /// [`Service::coverage`] states whether that includes all versions of this time.
    pub fn recent_only(&self, now: Time) -> Option<&SmolStr> {
        let known = self.seen.iter().chain(&self.heard);
        let mut recent = known.filter(|(_, at)| now.since(**at) < RETURN_WINDOW);
        let (first, _) = recent.next()?;
        recent.all(|(version, _)| version == first).then_some(first)
    }

    /// Returns whether several versions have replicas.
    pub fn is_mixed(&self) -> bool {
        self.counts.len() > 1
    }

    /// Requires that the default is read again at a time; until then the absence of a record proves nothing.
    pub fn read_again(&mut self, at: Time) {
        self.reread_at = Some(at);
    }

    /// Takes over the default that the table service holds.
    pub fn set_default(&mut self, now: Time, default: Stored) {
        self.default = Some(default);
        self.reread_at = self.reread_at.filter(|at| *at > now);
        self.absent_since = None;
        self.track_absence(now);
    }

    /// Updates since when the default has had no replicas.
    fn track_absence(&mut self, now: Time) {
        let default = self.default.as_ref();
        let is_absent = default.is_some_and(|default| !self.counts.contains_key(&default.version));
        self.absent_since = is_absent.then(|| self.absent_since.unwrap_or(now));
    }

    /// Returns whether the default has had no replicas for `span`.
    pub fn is_absent(&self, now: Time, span: Span) -> bool {
        self.absent_since
            .is_some_and(|since| now.since(since) >= span)
    }

    /// Returns whether the default must be read, or replaced.
    pub fn needs_call(&self, now: Time) -> bool {
        let is_due = !self.calling && now >= self.next_call && !self.counts.is_empty();
        let must_reread = self.reread_at.is_some_and(|at| now >= at);
        is_due && (self.default.is_none() || must_reread || self.is_absent(now, RETURN_WINDOW))
    }

    /// Returns the version to propose as default: the present one while it has replicas, else that of most replicas.
    pub fn candidate(&self) -> Option<SmolStr> {
        let default = self.default.as_ref().map(|default| &default.version);
        let present = default.filter(|version| self.counts.contains_key(*version));
        let most = self.counts.iter().max_by_key(|(_, count)| **count);
        present.or(most.map(|(version, _)| version)).cloned()
    }

    /// Returns whether the absence of a record proves that the default version began a stream.
    fn is_proven(&self, now: Time) -> bool {
        let default = self.default.as_ref();
        let in_force = default.is_some_and(|default| now >= default.proven_from);
        in_force && self.reread_at.is_none()
    }
}

impl Versions {
    /// Returns the default version, unless another entry may have replaced it since.
    pub fn default_of(&self, now: Time, service: &str) -> Option<&SmolStr> {
        let known = self.services.get(service)?;
        let default = known.default.as_ref();
        default
            .filter(|_| !known.is_absent(now, DOUBT_AFTER))
            .map(|default| &default.version)
    }

    /// Returns the version that began all streams without a record, according to a list of servers that was current
    /// `list_age` ago. Others replace a default whose replicas have been gone for [`RETURN_WINDOW`], which an older list
    /// may not show.
    pub fn proven_default(&self, now: Time, service: &str, list_age: Span) -> Option<&SmolStr> {
        let known = self.services.get(service)?;
        let is_current = list_age < DOUBT_AFTER;
        self.default_of(now, service)
            .filter(|_| is_current && known.is_proven(now))
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

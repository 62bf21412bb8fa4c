//! Callers that take a stream up again: it goes on at the software version that began it.

use clock::Span;
use clock::Time;
use line::Line;
use policy::job;
use policy::pool;
use policy::version;
use smol_str::SmolStr;
use store::call::Outcome;
use verdict::Reason;
use verdict::Refusal;

use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::origins;
use crate::request::LatestRecord;
use crate::rollouts::Generation;
use crate::servers::version_key;
use crate::store_calls::Waiter;
use crate::streams;
use crate::streams::Origin;
use crate::streams::Record;
use crate::streams::Recorded;

/// Retry delay for callers whose stream's version couldn't be found out: about the time of a short outage of the
/// table service.
const UNKNOWN_VERSION_RETRY: Span = Span::from_millis(500);

/// Longest wait for a stream's version to be recorded while another replica may need no record.
const RECORD_TIMEOUT: Span = Span::from_millis(1_500);
/// Longest such wait where no other replica may run the request.
const LAST_RECORD_TIMEOUT: Span = Span::from_millis(4_500);

/// How the version that began a stream was found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The stream began at this entry.
    Memory,
    /// A record in the table service.
    Record,
    /// There is no record: it is the default version.
    Default,
    /// No record proves a version, and no entry knows another one.
    Agreed,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Source::Memory => "memory",
            Source::Record => "record",
            Source::Default => "default",
            Source::Agreed => "agreed",
        }
    }
}

/// Returns the refusal of a stream that can't go on, since the version that began it or that of the servers isn't known.
pub(crate) fn unknown_version_refusal() -> Refusal {
    let message = "what began the stream isn't known to serve";
    Refusal::not_run(Reason::StoreUnavailable, message).with_retry_after(UNKNOWN_VERSION_RETRY)
}

impl Gateway {
    /// Finds out which version began the stream that a caller takes up; the request goes on when it is known.
    pub(crate) fn find_version(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(open) = self.requests.get(&serial) else {
            return;
        };
        let is_certain = !open.is_redrawn && self.knows_former_shares(now, open);
        let stream = open.stream;
        if let Some(origin) = self.streams.origin_of(stream) {
            return self.resume_from(now, serial, &origin, Source::Memory, effects);
        }
        if is_certain && self.store_health.is_unavailable() {
            return self.await_agreement(now, serial, effects);
        }
        self.call_store(Waiter::Stream(serial), streams::lookup(stream));
    }

    /// Handles the table service's answer about the version that began a stream.
    pub(crate) fn handle_stream_record(
        &mut self,
        now: Time,
        serial: u64,
        outcome: &Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get(&serial) else {
            return;
        };
        let knows_former_shares = self.knows_former_shares(now, open);
        let (stream, route, service) = (open.stream, open.route.clone(), open.service.clone());
        // Others may have stated former shares since the request arrived.
        let former = self.route_shares.draw(now, &route, stream.fraction());
        let is_redrawn = former.iter().any(|former| *former != service);
        let former = former
            .into_iter()
            .next()
            .filter(|oldest| *oldest != service);
        // The last record counts, which a page with more behind it doesn't hold.
        let Outcome::Rows {
            rows, more: false, ..
        } = outcome
        else {
            return match knows_former_shares && !is_redrawn {
                true => self.await_agreement(now, serial, effects),
                false => self.refuse_unknown(now, serial, effects),
            };
        };
        match streams::recorded_origin(stream, rows, self.store_era.unwrap_or(0)) {
            Recorded::Origin(origin) => {
                return self.resume_from(now, serial, &origin, Source::Record, effects);
            }
            Recorded::Unreadable | Recorded::Restored => {
                return self.refuse_unknown(now, serial, effects);
            }
            Recorded::Nothing if !knows_former_shares => {
                return self.refuse_unknown(now, serial, effects);
            }
            Recorded::Nothing => {}
        }
        if let Some(former) = former
            && !self.assign_service(now, serial, &former, effects)
        {
            return;
        }
        let Some(open) = self.requests.get(&serial) else {
            return;
        };
        let service = open.service.clone();
        let is_default_known = self.versions.default_of(now, &service).is_some();
        match is_default_known || !self.versions.awaits_default(now, &service) {
            true => self.resume_unrecorded(now, serial, effects),
            false => self.versions.await_default(&service, serial),
        }
    }

    /// Lets requests go on that waited for the service's default version to be known.
    pub(crate) fn resume_waiting(&mut self, now: Time, service: &str, effects: &mut Vec<Effect>) {
        for serial in self.versions.take_waiting(service) {
            self.resume_unrecorded(now, serial, effects);
        }
    }

    /// Lets a request go on whose stream has no record: at the default version if that proves it.
    fn resume_unrecorded(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        let Some(open) = self.requests.get(&serial) else {
            return;
        };
        let proven = self.versions.proven_default(now, &open.service);
        match proven.cloned() {
            Some(version) => self.resume_at(now, serial, &version, Source::Default, effects),
            None => self.await_agreement(now, serial, effects),
        }
    }

    /// Refuses a request for as long as it isn't known what began its stream.
    pub(crate) fn refuse_unknown(&mut self, now: Time, serial: u64, effects: &mut Vec<Effect>) {
        self.refuse(now, serial, unknown_version_refusal(), effects);
    }

    /// Lets a request go on at the service and the version that began its stream.
    fn resume_from(
        &mut self,
        now: Time,
        serial: u64,
        origin: &Origin,
        source: Source,
        effects: &mut Vec<Effect>,
    ) {
        if origins::is_unknown(&origin.version) {
            return self.refuse_unknown(now, serial, effects);
        }
        let service = origin.service.as_ref();
        if service.is_none_or(|service| self.assign_service(now, serial, service, effects)) {
            self.resume_at(now, serial, &origin.version, source, effects);
        }
    }

    /// Lets a request go on at the version that began its stream.
    pub(crate) fn resume_at(
        &mut self,
        now: Time,
        serial: u64,
        version: &SmolStr,
        source: Source,
        effects: &mut Vec<Effect>,
    ) {
        let list_age = self.list_age(now);
        let Some(open) = self.requests.get_mut(&serial) else {
            return;
        };
        open.version = Some(version.clone());
        open.job.terms.version = Some(version_key(version));
        let (stream, until) = (open.stream, open.returns_until);
        let known = self.versions.services.get(&open.service);
        let known_for = known.map_or(Span::ZERO, |known| known.coverage(now));
        let line = Line::info("stream_version")
            .with("request", &open.id)
            .with("version", version)
            .with("source", SmolStr::new_static(source.as_str()))
            .with("waited_ms", now.since(open.arrived_at).as_millis())
            .with("list_age_ms", list_age.as_millis())
            .with("known_for_ms", known_for.as_millis());
        effects.push(Effect::Log(line));
        let service = open.service.clone();
        let pool = self.pool_of(&service, version);
        let pool = pool.and_then(|name| self.pools.get(&name).copied());
        let canary = self.rollouts.is_canary(&service, version);
        if let (Some(pool), Some(open)) = (pool, self.requests.get_mut(&serial)) {
            open.job.pool = pool;
            open.canary = canary;
        }
        self.streams
            .remember(stream, service, version.clone(), None, until);
        self.begin_charge(now, serial, effects);
    }

    /// Records the version of an attempt that may begin a stream, unless all entries know it anyway; returns
    /// whether the first event must wait for that. A stream without a record would be taken for one of the default version.
    pub(crate) fn record_version(&mut self, now: Time, serial: u64, version: SmolStr) -> bool {
        let Some(open) = self.requests.get(&serial) else {
            return false;
        };
        if !open.repeat.is_resumable() || open.version.is_some() {
            return false;
        }
        let is_default = self.unrecorded_version(now, &open.service) == Some(&version);
        let latest = open.record.as_ref();
        let is_recorded = latest.is_some_and(|one| one.is_written && one.version == version);
        let is_certain = is_default && !open.is_redrawn && self.knows_former_shares(now, open);
        if is_recorded || is_certain && latest.is_none() {
            return false;
        }
        let Some(open) = self.requests.get_mut(&serial) else {
            return false;
        };
        open.record = Some(LatestRecord {
            attempt: open.attempt,
            version: version.clone(),
            is_written: false,
        });
        self.streams.record(Record {
            serial: Some(serial),
            attempt: open.attempt,
            stream: open.stream,
            service: open.service.clone(),
            version,
            until: open.returns_until,
        });
        true
    }

    /// Returns the version at which streams of a service begin without a record.
    fn unrecorded_version(&self, now: Time, service: &str) -> Option<&SmolStr> {
        let is_agreed = self.is_list_outdated() && self.is_in_contact_with_all(now);
        self.versions.unrecorded_version(now, service, is_agreed)
    }

    /// Returns the longest wait of a stream's first event for its record.
    ///
    /// A further attempt may need no record; without one, an answer given up is lost.
    pub(crate) fn record_timeout(&self, serial: u64) -> Span {
        match self.scheduler.has_attempts_left(job::Id(serial)) {
            true => RECORD_TIMEOUT,
            false => LAST_RECORD_TIMEOUT,
        }
    }

    /// Remembers the version whose replica delivers the first event of a stream, and records it as long as the absence
    /// of a record doesn't prove the default version.
    pub(crate) fn begin_stream(&mut self, now: Time, serial: u64) {
        let Some(open) = self.requests.get_mut(&serial) else {
            return;
        };
        if !open.repeat.is_resumable() || open.version.is_some() {
            return;
        }
        let Some(runner) = open.runner.clone() else {
            return;
        };
        let version = runner.version.clone();
        open.version = Some(version.clone());
        let (stream, until) = (open.stream, open.returns_until);
        let (service, has_record) = (open.service.clone(), open.record.is_some());
        let needs_record = !has_record && self.versions.needs_records(now, &service);
        self.streams
            .remember(stream, service, version, Some(runner), until);
        if needs_record {
            self.streams.record_begun(stream);
        }
    }

    /// Returns the version at which new streams begin while none can be recorded, if others serve beside it.
    pub(crate) fn version_in_outage(
        &self,
        now: Time,
        service: &str,
        pool: pool::Key,
    ) -> Option<version::Key> {
        (!self.is_recording(now)).then(|| self.alternative(now, service, pool))?
    }

    /// Returns whether the table service writes records of streams.
    pub(crate) fn is_recording(&self, now: Time) -> bool {
        !self.store_health.is_unavailable() && !self.streams.are_refused(now)
    }

    /// Keeps a request whose record wasn't written in time to the default version.
    pub(crate) fn avoid_records(&mut self, now: Time, serial: u64) {
        let Some(open) = self.requests.get(&serial) else {
            return;
        };
        if let Some(version) = self.alternative(now, &open.service, open.job.pool) {
            self.scheduler.require_version(job::Id(serial), version);
        }
    }

    /// Returns the default version, whose streams need no record, if others serve too and the pool has replicas of
    /// it.
    fn alternative(&self, now: Time, service: &str, pool: pool::Key) -> Option<version::Key> {
        if self.versions.only(service).is_some() {
            return None;
        }
        let default = self.unrecorded_version(now, service)?;
        let of_default = self.pool_of(service, default)?;
        (self.pools.get(&of_default) == Some(&pool)).then(|| version_key(default))
    }

    /// Returns the pool that holds replicas of a version, unless that gets no requests.
    fn pool_of(&self, service: &str, version: &str) -> Option<SmolStr> {
        let of_version = self.servers.iter().filter(|known| {
            let server = &known.server;
            let is_rejected = self.rollouts.generation(server) == Generation::Rejected;
            server.service == service && server.version == version && !is_rejected
        });
        let mut usable = of_version
            .map(|known| &known.server.incarnation)
            .filter(|incarnation| !self.servers.is_leaving(incarnation));
        usable.find_map(|incarnation| self.replica_pools.get(incarnation).cloned())
    }
}

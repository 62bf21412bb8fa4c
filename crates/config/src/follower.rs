//! Fetches missing versions from a peer, or from the table service if the peer doesn't answer in time.

use clock::Span;
use clock::Time;
use smol_str::SmolStr;
use store::call::Call;
use store::call::Outcome;
use store::call::Row;

use crate::configs::agreement::Settings;
use crate::history::History;
use crate::row;
use crate::row::Version;
use crate::snapshot::Snapshot;

/// Versions read with one call.
const PAGE_SIZE: u32 = 128;

/// State of the fetch.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Newest version known to exist.
    newest_known: u64,
    /// Time until which a peer may answer before the table service is read.
    peer_deadline: Option<Time>,
    /// Earliest time of the next call after a failed one.
    retry_at: Time,
    stage: Stage,
    /// Whether the local version is older than the oldest one retained in the table service.
    is_behind_retained: bool,
    settings: Settings,
}

/// Progress of a fetch from the table service.
#[derive(Clone, Debug, Default)]
enum Stage {
    /// No call is in flight.
    #[default]
    Idle,
    /// Versions after the local one are being read.
    Versions,
    /// The snapshot is being read.
    Snapshot,
    /// The retained versions up to and after the snapshot are to be read.
    Tail(Box<Tail>),
}

/// A snapshot and the versions read so far.
#[derive(Clone, Debug)]
struct Tail {
    snapshot: Snapshot,
    versions: Vec<Version>,
    after_key: SmolStr,
    is_requested: bool,
}

impl Follower {
    /// Creates a follower with nothing to fetch.
    pub fn new(settings: Settings) -> Follower {
        Follower {
            newest_known: 0,
            peer_deadline: None,
            retry_at: Time::ZERO,
            stage: Stage::Idle,
            is_behind_retained: false,
            settings,
        }
    }

    /// Records that a version exists. With `ask_peer_at`, returns whether to request it from a peer now.
    pub fn record_version(&mut self, version: u64, ask_peer_at: Option<Time>) -> bool {
        let is_newer = version > self.newest_known;
        self.newest_known = self.newest_known.max(version);
        let Some(now) = ask_peer_at else {
            return false;
        };
        let is_peer_asked = self.peer_deadline.is_some_and(|deadline| now < deadline);
        if is_peer_asked && !is_newer {
            return false;
        }
        self.peer_deadline = Some(now + self.settings.peer_timeout);
        true
    }

    /// Extends the deadline of a peer that has sent some of the requested versions.
    pub fn extend_peer_timeout(&mut self, now: Time) {
        if self.peer_deadline.is_some() {
            self.peer_deadline = Some(now + self.settings.peer_timeout);
        }
    }

    /// Returns the store call to make now, if any.
    pub fn next_call(&mut self, now: Time, history: &History) -> Option<Call> {
        if self.newest_known <= history.version() {
            self.peer_deadline = None;
            return None;
        }
        if now < self.retry_at || self.peer_deadline.is_some_and(|deadline| now < deadline) {
            return None;
        }
        match &mut self.stage {
            Stage::Idle if self.is_behind_retained || history.version() == 0 => {
                self.is_behind_retained = false;
                self.stage = Stage::Snapshot;
                Some(Call::Get {
                    address: row::checkpoint(),
                })
            }
            Stage::Idle => {
                self.stage = Stage::Versions;
                Some(scan_versions_after(row::version(history.version()).key))
            }
            Stage::Tail(tail) if !tail.is_requested => {
                tail.is_requested = true;
                Some(scan_versions_after(tail.after_key.clone()))
            }
            _ => None,
        }
    }

    /// Returns when the next store call is due; `None` while nothing is missing or a call is in flight.
    pub fn next_wake(&self, history: &History) -> Option<Time> {
        let is_in_flight = match &self.stage {
            Stage::Idle => false,
            Stage::Versions | Stage::Snapshot => true,
            Stage::Tail(tail) => tail.is_requested,
        };
        if is_in_flight || self.newest_known <= history.version() {
            return None;
        }
        Some(self.peer_deadline.unwrap_or_default().max(self.retry_at))
    }

    /// Handles the outcome of the call in flight; returns false if the call failed and will be retried.
    pub fn handle_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        wait: Span,
        history: &mut History,
    ) -> bool {
        self.retry_at = Time::ZERO;
        match (std::mem::take(&mut self.stage), outcome) {
            (Stage::Versions, Outcome::Rows { rows, .. }) => self.take_versions(rows, history),
            (Stage::Snapshot, Outcome::Row(row)) => self.take_snapshot(row),
            (Stage::Tail(tail), Outcome::Rows { rows, more, .. }) => {
                self.take_tail(*tail, rows, more, history);
            }
            (Stage::Tail(mut tail), _) => {
                tail.is_requested = false;
                self.stage = Stage::Tail(tail);
                self.retry_at = now + wait;
                return false;
            }
            _ => {
                self.retry_at = now + wait;
                return false;
            }
        }
        true
    }

    /// Applies consecutive versions; a gap means that the local version is older than the retained ones.
    fn take_versions(&mut self, rows: Vec<Row>, history: &mut History) {
        let versions: Vec<Version> = rows.iter().filter_map(row::read).collect();
        self.is_behind_retained = versions
            .first()
            .is_some_and(|first| first.version > history.version() + 1);
        for version in versions {
            history.push(version);
        }
    }

    fn take_snapshot(&mut self, row: Option<Row>) {
        let snapshot = row.as_ref().and_then(row::read).unwrap_or_default();
        self.stage = Stage::Tail(Box::new(self.begin_tail(snapshot)));
    }

    /// Starts reading the retained versions too, so that repeated changes are recognized here.
    fn begin_tail(&self, snapshot: Snapshot) -> Tail {
        let oldest = snapshot
            .version
            .saturating_sub(self.settings.retained_versions);
        Tail {
            after_key: row::version(oldest).key,
            snapshot,
            versions: Vec::new(),
            is_requested: false,
        }
    }

    fn take_tail(&mut self, mut tail: Tail, rows: Vec<Row>, more: bool, history: &mut History) {
        tail.versions.extend(rows.iter().filter_map(row::read));
        if let (true, Some(last)) = (more, rows.last()) {
            tail.after_key = last.key.clone();
            tail.is_requested = false;
            self.stage = Stage::Tail(Box::new(tail));
            return;
        }
        let newest = tail.snapshot.version;
        let (previous, next) = tail
            .versions
            .into_iter()
            .partition(|version| version.version <= newest);
        history.replace(tail.snapshot, previous);
        for version in next {
            history.push(version);
        }
    }
}

/// Returns a scan of versions after a key.
fn scan_versions_after(key: SmolStr) -> Call {
    Call::Scan {
        table: SmolStr::from(row::TABLE),
        prefix: SmolStr::from(row::VERSION_PREFIX),
        after: key,
        limit: PAGE_SIZE,
    }
}

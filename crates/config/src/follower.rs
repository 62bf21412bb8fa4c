//! Fetches the versions that this entry lacks, from a peer or else from the table service.

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
const PAGE: u32 = 128;

/// What is fetched, and from where.
#[derive(Clone, Debug)]
pub struct Follower {
    /// The newest version heard of.
    newest: u64,
    /// A peer was asked; the service is not read before this time.
    peer_until: Option<Time>,
    /// A call failed; none is made before this time.
    not_before: Time,
    stage: Stage,
    /// Ours is older than the oldest version kept in the service.
    gap: bool,
    settings: Settings,
}

/// Where a fetch from the service stands.
#[derive(Clone, Debug, Default)]
enum Stage {
    /// No call is on its way.
    #[default]
    Idle,
    /// The versions after ours are being read.
    Versions,
    /// The snapshot is being read.
    Snapshot,
    /// The kept versions up to and after the snapshot are to be read.
    Rest(Box<Rest>),
}

/// A snapshot and the versions read so far.
#[derive(Clone, Debug)]
struct Rest {
    snapshot: Snapshot,
    versions: Vec<Version>,
    after: SmolStr,
    called: bool,
}

impl Follower {
    /// Nothing to fetch yet.
    pub fn new(settings: Settings) -> Follower {
        Follower {
            newest: 0,
            peer_until: None,
            not_before: Time::ZERO,
            stage: Stage::Idle,
            gap: false,
            settings,
        }
    }

    /// Notes that a version exists. With `peer_at`, says whether a peer should be asked for it now.
    pub fn expect(&mut self, version: u64, peer_at: Option<Time>) -> bool {
        let news = version > self.newest;
        self.newest = self.newest.max(version);
        let Some(now) = peer_at else {
            return false;
        };
        let asked = self.peer_until.is_some_and(|until| now < until);
        if asked && !news {
            return false;
        }
        self.peer_until = Some(now + self.settings.peer_patience);
        true
    }

    /// Versions came in: a peer that was asked is given more time for the rest.
    pub fn progressed(&mut self, now: Time) {
        if self.peer_until.is_some() {
            self.peer_until = Some(now + self.settings.peer_patience);
        }
    }

    /// The call to make now, if any.
    pub fn next_call(&mut self, now: Time, history: &History) -> Option<Call> {
        if self.newest <= history.version() {
            self.peer_until = None;
            return None;
        }
        if now < self.not_before || self.peer_until.is_some_and(|until| now < until) {
            return None;
        }
        match &mut self.stage {
            Stage::Idle if self.gap || history.version() == 0 => {
                self.gap = false;
                self.stage = Stage::Snapshot;
                Some(Call::Get {
                    at: row::checkpoint(),
                })
            }
            Stage::Idle => {
                self.stage = Stage::Versions;
                Some(scan(row::version(history.version()).key))
            }
            Stage::Rest(rest) if !rest.called => {
                rest.called = true;
                Some(scan(rest.after.clone()))
            }
            _ => None,
        }
    }

    /// When the next call is due; none while nothing is missing or a call is on its way.
    pub fn next_wake(&self, history: &History) -> Option<Time> {
        let on_its_way = match &self.stage {
            Stage::Idle => false,
            Stage::Versions | Stage::Snapshot => true,
            Stage::Rest(rest) => rest.called,
        };
        if on_its_way || self.newest <= history.version() {
            return None;
        }
        Some(self.peer_until.unwrap_or_default().max(self.not_before))
    }

    /// Takes the outcome of the call that was made; false if it failed, and is made again later.
    pub fn answered(
        &mut self,
        now: Time,
        outcome: Outcome,
        wait: Span,
        history: &mut History,
    ) -> bool {
        self.not_before = Time::ZERO;
        match (std::mem::take(&mut self.stage), outcome) {
            (Stage::Versions, Outcome::Rows { rows, .. }) => self.take_versions(rows, history),
            (Stage::Snapshot, Outcome::Row(row)) => self.take_snapshot(row),
            (Stage::Rest(rest), Outcome::Rows { rows, more }) => {
                self.take_rest(*rest, rows, more, history);
            }
            (Stage::Rest(mut rest), _) => {
                rest.called = false;
                self.stage = Stage::Rest(rest);
                self.not_before = now + wait;
                return false;
            }
            _ => {
                self.not_before = now + wait;
                return false;
            }
        }
        true
    }

    /// Applies consecutive versions; a gap means that ours is older than what is kept.
    fn take_versions(&mut self, rows: Vec<Row>, history: &mut History) {
        let versions: Vec<Version> = rows.iter().filter_map(row::read).collect();
        self.gap = versions
            .first()
            .is_some_and(|first| first.version > history.version() + 1);
        for version in versions {
            history.push(version);
        }
    }

    fn take_snapshot(&mut self, row: Option<Row>) {
        let snapshot = row.as_ref().and_then(row::read).unwrap_or_default();
        self.stage = Stage::Rest(Box::new(self.rest(snapshot)));
    }

    /// Reads the kept versions as well, so that repeated changes are known here too.
    fn rest(&self, snapshot: Snapshot) -> Rest {
        let oldest = snapshot.version.saturating_sub(self.settings.kept);
        Rest {
            after: row::version(oldest).key,
            snapshot,
            versions: Vec::new(),
            called: false,
        }
    }

    fn take_rest(&mut self, mut rest: Rest, rows: Vec<Row>, more: bool, history: &mut History) {
        rest.versions.extend(rows.iter().filter_map(row::read));
        if let (true, Some(last)) = (more, rows.last()) {
            rest.after = last.key.clone();
            rest.called = false;
            self.stage = Stage::Rest(Box::new(rest));
            return;
        }
        let at = rest.snapshot.version;
        let (before, after) = rest
            .versions
            .into_iter()
            .partition(|version| version.version <= at);
        history.replace(rest.snapshot, before);
        for version in after {
            history.push(version);
        }
    }
}

/// Reads versions after a key.
fn scan(after: SmolStr) -> Call {
    Call::Scan {
        table: SmolStr::from(row::TABLE),
        prefix: SmolStr::from(row::VERSIONS),
        after,
        limit: PAGE,
    }
}

//! One entry's part in following the list: whether it reads, and what it reports.

use clock::Span;
use clock::Time;
use policy::rendezvous;

use crate::configs::watch::Config;
use crate::list::List;
use crate::report::Change;
use crate::report::Report;
use crate::report::State;
use crate::server::Reading;
use crate::server::Removal;
use crate::server::Server;

/// What an entry does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// There are few entries, and each reads for itself.
    Alone,
    /// It reads for all, or stands by for those before it.
    Reader {
        /// Its place among the readers; the first one reads.
        rank: usize,
    },
    /// It receives reports.
    Follower,
}

/// How far the list is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// When the table service said so, as far as known.
    pub as_of: Time,
    /// Everything up to this revision is known.
    pub revision: u64,
}

/// What an entry learned from a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learned {
    /// Servers whose rows are new or say something else.
    pub written: Vec<Server>,
    /// Rows that ended.
    pub removed: Vec<Removal>,
    /// How far the list is known by now, if the report shows that nothing is missing.
    pub position: Option<Position>,
}

/// How much of what changed lately a report has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// What no report of this entry had before.
    New,
    /// Also what earlier reports had, so that a loss is made good.
    Recent,
}

/// A change that is passed on.
#[derive(Debug)]
struct Outgoing {
    since: Time,
    change: Change,
    /// Whether a report had it.
    reported: bool,
}

/// What one entry knows of the list.
#[derive(Debug)]
pub struct Watch {
    config: Config,
    list: List,
    position: Option<Position>,
    /// Since when reports say that something is missing here.
    mismatch_since: Option<Time>,
    /// Whether the last report came from one that can't say whether missing rows are those of live servers.
    reader_unsure: bool,
    /// What was learned and is still passed on.
    outgoing: Vec<Outgoing>,
    /// Whether the table service was read since the last report.
    read_since_report: bool,
    /// When it was read here last.
    last_read: Option<Time>,
    /// When it reported last.
    last_report: Time,
    /// This entry's moment within the spread.
    jitter: Span,
}

impl Watch {
    /// An entry that knows nothing; `seed` sets its moment among those that read for themselves.
    pub fn new(config: Config, seed: u64) -> Watch {
        let jitter = rendezvous::weight(seed, 0) % config.follower_jitter.as_millis().max(1);
        Watch {
            config,
            list: List::default(),
            position: None,
            mismatch_since: None,
            reader_unsure: false,
            outgoing: Vec::new(),
            read_since_report: false,
            last_read: None,
            last_report: Time::ZERO,
            jitter: Span::from_millis(jitter),
        }
    }

    /// Takes in an answer of the table service; what of it isn't out of date by now.
    ///
    /// Guards against an answer that was under way while reports brought newer changes: it names servers that are gone.
    pub fn apply_reading(&mut self, now: Time, reading: &Reading) -> Reading {
        let is_first = self.position.is_none();
        let changes = self.list.apply_reading(reading);
        // What an entry finds as it starts is known to all others.
        if !is_first {
            self.relay(now, changes);
        }
        self.advance_position(Position {
            as_of: now,
            revision: reading.revision,
        });
        self.mismatch_since = None;
        self.reader_unsure = false;
        self.read_since_report = true;
        self.last_read = Some(now);
        Reading {
            revision: reading.revision,
            update: self.list.up_to_date(&reading.update),
        }
    }

    /// Takes in a report; with `pass_on`, what is new in it goes into this entry's own reports.
    pub fn receive(&mut self, now: Time, report: &Report, relay: bool) -> Learned {
        // Without a reading of its own an entry can't tell what is missing.
        if self.position.is_none() {
            return Learned::default();
        }
        self.reader_unsure = report.lapsed_ms > 0;
        let mut learned = Learned::default();
        let changes = self.list.apply(report.changes.clone());
        for change in &changes {
            match &change.now {
                State::Written(server) => learned.written.push(server.clone()),
                State::Ended => learned.removed.push(Removal {
                    id: change.id.clone(),
                    revision: change.at,
                }),
            }
        }
        if relay {
            self.relay(now, changes);
        }
        learned.position = self.compare_digest(now, report);
        learned
    }

    /// Compares the list with a report's digest.
    fn compare_digest(&mut self, now: Time, report: &Report) -> Option<Position> {
        if report.digest == self.list.digest() {
            self.mismatch_since = None;
            self.advance_position(Position {
                as_of: before(now, Span::from_millis(report.age_ms)),
                revision: report.revision,
            });
            return self.position;
        }
        // A report of before our newest change says nothing of what is missing here.
        if report.revision >= self.list.changed_revision() {
            self.mismatch_since.get_or_insert(now);
        }
        None
    }

    /// Notes how far the list is known without a gap.
    fn advance_position(&mut self, position: Position) {
        self.list.mark_complete(position.revision);
        let known = self.position.unwrap_or(position);
        self.position = Some(Position {
            as_of: known.as_of.max(position.as_of),
            revision: known.revision.max(position.revision),
        });
    }

    fn relay(&mut self, now: Time, changes: Vec<Change>) {
        let outgoing = changes.into_iter().map(|change| Outgoing {
            since: now,
            change,
            reported: false,
        });
        self.outgoing.extend(outgoing);
    }

    /// Whether there is something to pass on before the next regular report.
    pub fn is_report_due(&self, now: Time) -> bool {
        self.has_unreported() && now >= self.last_report + self.config.min_report_interval
    }

    /// When [`Watch::is_report_due`] holds next.
    pub fn next_report_due(&self) -> Option<Time> {
        self.has_unreported()
            .then_some(self.last_report + self.config.min_report_interval)
    }

    /// Whether something was not passed on yet.
    fn has_unreported(&self) -> bool {
        self.outgoing.iter().any(|one| !one.reported)
    }

    /// Whether the table service was read since the last report.
    pub fn has_read(&self) -> bool {
        self.read_since_report
    }

    /// Whether this entry reads by itself at present, and needs nobody's word on which rows may have lapsed.
    pub fn is_reading(&self, now: Time) -> bool {
        let standby = self.config.reader_timeout;
        self.last_read.is_some_and(|at| now.since(at) < standby)
    }

    /// A report for other entries; `lapsed` is how long missing rows may be those of live servers.
    pub fn report(&mut self, now: Time, lapsed: Span, extent: Extent) -> Option<Report> {
        let position = self.position?;
        self.read_since_report = false;
        self.last_report = now;
        let repeat = self.config.retransmission_time;
        self.outgoing
            .retain(|one| !one.reported || now.since(one.since) < repeat);
        let outgoing = self.outgoing.iter_mut();
        let selected = outgoing.filter(|one| extent == Extent::Recent || !one.reported);
        let changes = selected.map(|one| {
            one.reported = true;
            one.change.clone()
        });
        Some(Report {
            revision: position.revision,
            age_ms: now.since(position.as_of).as_millis(),
            digest: self.list.digest(),
            lapsed_ms: lapsed.as_millis(),
            changes: changes.collect(),
        })
    }

    /// The pause between two reads of this entry; none while it need not read.
    pub fn read_interval(&self, now: Time, role: Role) -> Option<Span> {
        match role {
            Role::Alone => Some(Span::ZERO),
            Role::Reader { .. } => {
                (now >= self.next_read(role)).then_some(self.config.reader_interval)
            }
            Role::Follower => {
                (now >= self.next_read(role)).then_some(self.config.follower_interval)
            }
        }
    }

    /// When an entry reads next unless a newer report comes.
    pub fn next_read(&self, role: Role) -> Time {
        let Some(position) = self.position else {
            return Time::ZERO;
        };
        let timeout = match role {
            Role::Alone | Role::Reader { rank: 0 } => return Time::ZERO,
            // Those that stand by have followed the list without a gap, where the reader has not.
            Role::Reader { rank } if self.reader_unsure => {
                self.config.reader_interval.times(rank as u64)
            }
            Role::Reader { rank } => {
                self.config.reader_timeout + self.config.reader_interval.times(rank as u64)
            }
            Role::Follower => self.config.follower_timeout + self.jitter,
        };
        let stale = position.as_of + timeout;
        match self.mismatch_since {
            Some(since) => stale.min(since + self.config.mismatch_timeout + self.jitter),
            None => stale,
        }
    }

    /// How far the list is known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Digest of the list as it is known here.
    pub fn digest(&self) -> u64 {
        self.list.digest()
    }
}

/// The moment `span` before `now`.
fn before(now: Time, span: Span) -> Time {
    Time::from_millis(now.as_millis().saturating_sub(span.as_millis()))
}

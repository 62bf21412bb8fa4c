//! One entry's copy of the list: when it reads the table service, and what it reports to others.

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

/// An entry's part in keeping the list up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// There are few entries, and each reads the list itself.
    Alone,
    /// Reads for all entries, or stands by to replace readers of lower rank.
    Reader {
        /// Its rank; the reader of rank 0 reads.
        rank: usize,
    },
    /// Receives reports.
    Follower,
}

/// How current an entry's list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// When the table service was read at this revision, by this entry's clock, as far as reports tell without the time that
    /// they took.
    pub as_of: Time,
    /// Time up to which the list certainly contains all that was there.
    pub certain_as_of: Time,
    /// The revision up to which all changes are known.
    pub revision: u64,
}

/// The changes that an entry learned from a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learned {
    /// Servers whose rows were created or changed.
    pub written: Vec<Server>,
    /// Rows that ended.
    pub removed: Vec<Removal>,
    /// The list's position, if the report shows that no change is missing.
    pub position: Option<Position>,
}

/// Which recent changes a report contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// Changes that no earlier report of this entry contained.
    New,
    /// Also changes of earlier reports, to make up for lost ones.
    Recent,
}

/// A change to relay to other entries.
#[derive(Debug)]
struct Outgoing {
    since: Time,
    change: Change,
    /// Whether a report has contained it.
    reported: bool,
}

/// One entry's copy of the list and its schedule of reads and reports.
#[derive(Debug)]
pub struct Watch {
    config: Config,
    list: List,
    position: Option<Position>,
    /// Since when this list's digest has differed from that of reports.
    mismatch_since: Option<Time>,
    /// Whether the last report's sender couldn't tell if missing rows belong to live servers.
    reader_unsure: bool,
    /// Changes that are still relayed.
    outgoing: Vec<Outgoing>,
    /// Whether the table service was read since the last report was made.
    read_since_report: bool,
    /// When this entry last read the table service.
    last_read: Option<Time>,
    /// When the last report was made.
    last_report: Time,
    /// This entry's delay before it reads for itself, see [`Config::follower_jitter`].
    jitter: Span,
}

impl Watch {
    /// Creates an empty list; `seed` determines the jitter of reads.
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

    /// Applies an answer of the table service to a read that began at `requested_at`, and returns the part that is still current.
    ///
    /// Guards against an answer that was in flight while reports brought newer changes: it contains
    /// servers that have ended.
    pub fn apply_reading(&mut self, now: Time, requested_at: Time, reading: &Reading) -> Reading {
        let is_first = self.position.is_none();
        let changes = self.list.apply_reading(reading);
        // All other entries know what an entry finds when it starts.
        if !is_first {
            self.relay(now, changes);
        }
        self.advance_position(Position {
            as_of: now,
            certain_as_of: requested_at,
            revision: reading.revision,
        });
        self.mismatch_since = None;
        self.reader_unsure = false;
        self.read_since_report = true;
        self.last_read = Some(now);
        Reading {
            revision: reading.revision,
            update: self.list.current_part(&reading.update),
        }
    }

    /// Applies a report that was written after `written_after`, if that is known; with `relay`, its new changes go into this
    /// entry's own reports.
    pub fn receive(
        &mut self,
        now: Time,
        report: &Report,
        written_after: Option<Time>,
        relay: bool,
    ) -> Learned {
        // Without a first reading, an entry can't tell what is missing.
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
        learned.position = self.compare_digest(now, report, written_after);
        learned
    }

    /// Compares the list's digest with a report's and returns the position if they are equal.
    fn compare_digest(
        &mut self,
        now: Time,
        report: &Report,
        written_after: Option<Time>,
    ) -> Option<Position> {
        if report.digest == self.list.digest() {
            self.mismatch_since = None;
            let certain = written_after.zip(report.certain_age_ms);
            let certain_as_of = certain.map(|(at, age)| at.min(now) - Span::from_millis(age));
            self.advance_position(Position {
                as_of: now - Span::from_millis(report.age_ms),
                certain_as_of: certain_as_of.unwrap_or(Time::ZERO),
                revision: report.revision,
            });
            return self.position;
        }
        // A report that is older than our newest change doesn't show whether a change is missing.
        if report.revision >= self.list.changed_revision() {
            self.mismatch_since.get_or_insert(now);
        }
        None
    }

    /// Advances the position up to which no change is missing.
    fn advance_position(&mut self, position: Position) {
        self.list.mark_complete(position.revision);
        let known = self.position.unwrap_or(position);
        self.position = Some(Position {
            as_of: known.as_of.max(position.as_of),
            certain_as_of: known.certain_as_of.max(position.certain_as_of),
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

    /// Returns whether there are changes to report before the next regular report.
    pub fn is_report_due(&self, now: Time) -> bool {
        self.has_unreported() && now >= self.last_report + self.config.min_report_interval
    }

    /// Returns when [`Watch::is_report_due`] becomes true, if there are changes to report.
    pub fn next_report_due(&self) -> Option<Time> {
        self.has_unreported()
            .then_some(self.last_report + self.config.min_report_interval)
    }

    /// Returns whether there are changes that no report has contained.
    fn has_unreported(&self) -> bool {
        self.outgoing.iter().any(|outgoing| !outgoing.reported)
    }

    /// Returns whether the table service was read since the last report.
    pub fn has_read(&self) -> bool {
        self.read_since_report
    }

    /// Returns whether this entry reads the table service itself, and so knows which rows may have lapsed.
    pub fn is_reading(&self, now: Time) -> bool {
        let timeout = self.config.reader_timeout;
        self.last_read.is_some_and(|at| now.since(at) < timeout)
    }

    /// Creates a report; `lapsed` is the time during which missing rows may belong to live servers.
    pub fn report(&mut self, now: Time, lapsed: Span, extent: Extent) -> Option<Report> {
        let position = self.position?;
        self.read_since_report = false;
        self.last_report = now;
        let retransmission_time = self.config.retransmission_time;
        self.outgoing.retain(|outgoing| {
            !outgoing.reported || now.since(outgoing.since) < retransmission_time
        });
        let outgoing = self.outgoing.iter_mut();
        let selected = outgoing.filter(|outgoing| extent == Extent::Recent || !outgoing.reported);
        let changes = selected.map(|outgoing| {
            outgoing.reported = true;
            outgoing.change.clone()
        });
        Some(Report {
            revision: position.revision,
            age_ms: now.since(position.as_of).as_millis(),
            certain_age_ms: Some(now.since(position.certain_as_of).as_millis()),
            echo: None,
            digest: self.list.digest(),
            lapsed_ms: lapsed.as_millis(),
            changes: changes.collect(),
        })
    }

    /// Returns the time between two reads of this entry, or none while it needn't read.
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

    /// Returns when an entry reads next unless a newer report arrives.
    pub fn next_read(&self, role: Role) -> Time {
        let Some(position) = self.position else {
            return Time::ZERO;
        };
        let timeout = match role {
            Role::Alone | Role::Reader { rank: 0 } => return Time::ZERO,
            // Standby readers have followed the list without a gap; the reader has not.
            Role::Reader { rank } if self.reader_unsure => {
                self.config.reader_interval.times(rank as u64)
            }
            Role::Reader { rank } => {
                self.config.reader_timeout + self.config.reader_interval.times(rank as u64)
            }
            Role::Follower => self.config.follower_timeout + self.jitter,
        };
        let certain_until = position.certain_as_of + self.config.certainty_timeout;
        let stale = match role {
            Role::Follower => (position.as_of + timeout).min(certain_until + self.jitter),
            _ => position.as_of + timeout,
        };
        match self.mismatch_since {
            Some(since) => stale.min(since + self.config.mismatch_timeout + self.jitter),
            None => stale,
        }
    }

    /// Returns how current the list is.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the list's digest.
    pub fn digest(&self) -> u64 {
        self.list.digest()
    }
}

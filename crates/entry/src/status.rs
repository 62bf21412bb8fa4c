//! Status, history and drain requests of operators.

use clock::Time;
use config::edit;
use config::edit::Item;
use config::row::Version;
use member::directory::Member;
use member::row::State;
use ops::fault::Fault;
use ops::reply::BackendState;
use ops::reply::BackendStatus;
use ops::reply::EntryStatus;
use ops::reply::LeaseState;
use ops::reply::PastChange;
use ops::reply::Reply;
use ops::reply::Status;
use ops::request::Target;
use smol_str::SmolStr;
use smol_str::ToSmolStr;

use crate::backends::LISTED_LEAVE_TIME;
use crate::effect::Effect;
use crate::entry::Entry;

/// Release version of this entry.
const RELEASE: &str = env!("CARGO_PKG_VERSION");

impl Entry {
    /// Returns the status of all entries and backend servers, as known here.
    pub(crate) fn status_reply(&self, now: Time) -> Reply {
        let directory = self.membership.directory();
        let entries = directory
            .present()
            .map(|(_, member)| self.entry_status(now, member));
        let mut backends: Vec<BackendStatus> = self
            .backends
            .iter()
            .map(|instance| BackendStatus {
                incarnation: instance.incarnation.clone(),
                pool: instance.pool.clone(),
                zone: instance.zone.clone(),
                state: if self.backends.is_leaving(&instance.incarnation) {
                    BackendState::Leaving
                } else {
                    BackendState::Live
                },
                running: self.running_on(&instance.incarnation),
            })
            .collect();
        backends.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        let mut entries: Vec<EntryStatus> = entries.collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        Reply::Status(Status {
            entry: self.identity.name.clone(),
            version: self.catalog.version(),
            store_available: self.store_available,
            entries,
            backends,
        })
    }

    /// Returns the retained changes, newest first.
    pub(crate) fn history_reply(&self, before: Option<u64>, limit: usize) -> Reply {
        let newest = self.catalog.version();
        let before = before.unwrap_or(newest + 1);
        let mut versions = self.agreement.retained_versions();
        versions.retain(|version| version.version < before);
        versions.reverse();
        versions.truncate(limit);
        Reply::History(versions.iter().map(past_change).collect())
    }

    /// Drains an entry or a backend server.
    pub(crate) fn drain(
        &mut self,
        now: Time,
        target: &Target,
        effects: &mut Vec<Effect>,
    ) -> Result<Reply, Fault> {
        match target {
            Target::Entry(name) if *name == self.identity.name => {
                let already_leaving = self.stop.is_stopping();
                let running = saturating_u32(self.flights.len());
                self.stop_requested(now, false, effects);
                Ok(Reply::Drained {
                    already_leaving,
                    running,
                })
            }
            Target::Entry(name) => {
                let message = format!(
                    "this is entry {}; ask entry {name} itself",
                    self.identity.name
                );
                Err(Fault::Precondition(message))
            }
            Target::Backend(incarnation) => self.drain_backend(now, incarnation, effects),
        }
    }

    /// Drains a backend server at every entry.
    fn drain_backend(
        &mut self,
        now: Time,
        incarnation: &SmolStr,
        effects: &mut Vec<Effect>,
    ) -> Result<Reply, Fault> {
        if self.backends.key_of(incarnation).is_none() {
            return Err(Fault::NotFound(format!("backend server {incarnation}")));
        }
        let running = self.running_on(incarnation);
        let already_leaving = !self.backends.mark_leaving(incarnation.clone());
        if !already_leaving {
            self.publish_leaving(now, incarnation, LISTED_LEAVE_TIME, effects);
            self.backend_leaving(now, incarnation, now + LISTED_LEAVE_TIME, effects);
        }
        Ok(Reply::Drained {
            already_leaving,
            running,
        })
    }

    /// Returns the number of this entry's requests that run on a backend server.
    fn running_on(&self, incarnation: &str) -> u32 {
        let key = self.backends.key_of(incarnation);
        let runs_there = |replica| key.is_some() && replica == key;
        saturating_u32(
            self.flights
                .values()
                .filter(|flight| runs_there(flight.replica))
                .count(),
        )
    }

    /// Returns the status of one entry.
    fn entry_status(&self, now: Time, member: &Member) -> EntryStatus {
        let row = &member.record.row;
        let is_own = row.id.0 == self.identity.incarnation.0;
        EntryStatus {
            name: if is_own {
                self.identity.name.clone()
            } else {
                row.id.to_smolstr()
            },
            zone: row.zone.clone(),
            address: row.address.clone(),
            applied_version: member.beat.applied.max(row.applied),
            lease: lease_state(now, member),
            release: if is_own {
                SmolStr::new_static(RELEASE)
            } else {
                SmolStr::default()
            },
        }
    }
}

/// Returns the state of a member's lease by the age of its heartbeat.
fn lease_state(now: Time, member: &Member) -> LeaseState {
    let age = now.since(member.last_seen);
    let term = member.record.row.term();
    match member.record.row.state {
        State::Draining | State::Left => LeaseState::Leaving,
        State::Live if age > term + term => LeaseState::Lapsed,
        State::Live if age > term => LeaseState::Overdue,
        State::Live => LeaseState::Held,
    }
}

/// Converts a configuration version to a past change. Versions carry no timestamp.
fn past_change(version: &Version) -> PastChange {
    let edits: Vec<String> = version.edits.iter().map(summary_of).collect();
    PastChange {
        version: version.version,
        change_id: version.change.clone(),
        summary: edits.join(", "),
        written_unix_ms: 0,
    }
}

/// Returns a one-line summary of an edit.
fn summary_of(edit: &edit::Edit) -> String {
    let verb = match edit {
        edit::Edit::PutAccount(_) | edit::Edit::PutDeployment(_) => "put",
        edit::Edit::RemoveAccount(_) | edit::Edit::RemoveDeployment(_) => "remove",
    };
    match edit.item() {
        Item::Account(name) => format!("{verb} account {name}"),
        Item::Deployment(name) => format!("{verb} deployment {name}"),
    }
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

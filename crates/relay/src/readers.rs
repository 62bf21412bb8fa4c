//! What is done with each answer of the feeds: configuration and backend servers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clock::Span;
use clock::Time;
use gateway::event::Event;
use gateway::event::Source;
use smol_str::SmolStr;
use watch::server::Reading;
use watch::server::Removal;
use watch::server::Server;
use watch::server::Update;

use crate::adapter::Changes;
use crate::adapter::Fault;
use crate::adapter::Pending;
use crate::adapter::Row;
use crate::adapter::Rows;
use crate::follow::Reader;
use crate::shared::Shared;

/// Something that an entry depends on; its loss and return are logged once each.
struct Dependency {
    name: &'static str,
    lost_at: Cell<Option<Time>>,
}

impl Dependency {
    fn new(name: &'static str) -> Dependency {
        Dependency {
            name,
            lost_at: Cell::new(None),
        }
    }

    fn lost(&self, now: Time, fault: &'static str) {
        if self.lost_at.get().is_none() {
            self.lost_at.set(Some(now));
            log::warn!(event = "dependency_lost", name = self.name, fault = fault; "");
        }
    }

    fn regained(&self, now: Time) {
        if let Some(lost) = self.lost_at.take() {
            let after = now.since(lost).as_millis();
            log::info!(event = "dependency_regained", name = self.name, after_ms = after; "");
        }
    }
}

/// How long a question for changes of the configuration waits. Each is a call of all entries' share; a newer version is
/// also announced by other entries.
const CONFIGURATION_WAIT: Span = Span::from_seconds(25);
/// The same for the list of backend servers, where each entry reads for itself.
const SERVERS_WAIT: Span = Span::from_seconds(10);
/// The same where this entry reads for others: they need its word that nothing has changed.
const SERVERS_WAIT_READER: Span = Span::from_millis(500);
/// Pause between two answers of a feed, and what each entry adds to it: all entries together read as often as
/// a few would, within a part of the time in which changes must be in force.
const FEED_PACE: Duration = Duration::from_millis(40);
const FEED_PACE_ENTRY: Duration = Duration::from_millis(5);

/// Pause after changes of a feed.
fn pace_of(shared: &Shared) -> Duration {
    let members = u32::try_from(shared.vitals.get().members).unwrap_or(u32::MAX);
    FEED_PACE + FEED_PACE_ENTRY * members.min(100)
}

/// Takes what is read of the configuration.
pub struct ConfigurationReader {
    shared: Rc<Shared>,
    dependency: Dependency,
}

impl ConfigurationReader {
    /// A reader that tells the reducer.
    pub fn new(shared: Rc<Shared>) -> ConfigurationReader {
        ConfigurationReader {
            shared,
            dependency: Dependency::new("configuration"),
        }
    }

    /// The table holds other rows besides; only one is the configuration.
    fn take(&self, rows: &[Row]) {
        for row in rows {
            self.take_order(row);
            if !self.shared.codec.is_configuration(row) {
                continue;
            }
            match self.shared.codec.catalog(&row.data) {
                Ok(catalog) => self.shared.link.event(Event::Configured {
                    catalog: Rc::new(catalog),
                    document: row.data.clone(),
                    source: Source::Store,
                }),
                Err(error) => {
                    log::warn!(event = "configuration_unreadable", source = "store", error = error.to_string().as_str(); "");
                }
            }
        }
    }
}

impl ConfigurationReader {
    /// Takes an order for a roll-out, if the row holds one.
    fn take_order(&self, row: &Row) {
        match self.shared.codec.rollout(row) {
            Some(Ok(order)) => self.shared.link.event(Event::RolloutOrdered(order)),
            Some(Err(error)) => {
                log::warn!(event = "rollout_unreadable", key = row.key.as_str(), error = error.to_string().as_str(); "");
            }
            None => {}
        }
    }

    /// The services whose roll-outs these rows order.
    fn ordered(&self, rows: &[Row]) -> Vec<SmolStr> {
        let codec = &self.shared.codec;
        let services = rows
            .iter()
            .filter_map(|row| codec.rollout_service(&row.key));
        services.collect()
    }
}

impl Reader for ConfigurationReader {
    fn all(&self, rows: Rows) {
        self.take(&rows.rows);
        let ordered = self.ordered(&rows.rows);
        self.shared.link.event(Event::RolloutsKnown(ordered));
    }

    fn changed(&self, changes: Changes) {
        self.take(&changes.written);
        for service in self.ordered(&changes.deleted) {
            self.shared.link.event(Event::RolloutWithdrawn(service));
        }
    }

    fn turn(&self) -> Pending<'_, ()> {
        Box::pin(std::future::ready(()))
    }

    fn known(&self) -> u64 {
        0
    }

    fn wait(&self) -> Span {
        CONFIGURATION_WAIT
    }

    fn pace(&self) -> Duration {
        pace_of(&self.shared)
    }

    fn fresh(&self) {
        let now = self.shared.clock.now();
        self.shared.configuration_at.set(now);
        self.dependency.regained(now);
    }

    fn lost(&self, fault: Fault) {
        self.dependency
            .lost(self.shared.clock.now(), fault.as_str());
    }
}

/// Takes what is read of backend servers.
pub struct ServersReader {
    shared: Rc<Shared>,
    dependency: Dependency,
}

impl ServersReader {
    /// A reader that tells the reducer.
    pub fn new(shared: Rc<Shared>) -> ServersReader {
        ServersReader {
            shared,
            dependency: Dependency::new("servers"),
        }
    }

    /// Servers of these rows, and the rows that name none.
    fn sort(&self, rows: &[Row]) -> (Vec<Server>, Vec<Row>) {
        let mut servers = Vec::new();
        let mut unusable = Vec::new();
        for row in rows {
            match self.shared.codec.server(row) {
                Ok(server) => servers.push(server),
                Err(error) => {
                    log::info!(event = "server_row_unusable", key = row.key.as_str(), error = error.to_string().as_str(); "");
                    unusable.push(row.clone());
                }
            }
        }
        (servers, unusable)
    }
}

impl Reader for ServersReader {
    fn all(&self, rows: Rows) {
        let (servers, _) = self.sort(&rows.rows);
        self.shared.link.event(Event::Servers(Reading {
            revision: rows.revision,
            update: Update::All(servers),
        }));
    }

    fn changed(&self, changes: Changes) {
        let (written, unusable) = self.sort(&changes.written);
        let ended = unusable.iter().chain(&changes.deleted);
        let removed = ended.map(removal_of).collect();
        self.shared.link.event(Event::Servers(Reading {
            revision: changes.revision,
            update: Update::Changes { written, removed },
        }));
    }

    fn turn(&self) -> Pending<'_, ()> {
        let mut pause = self.shared.servers_pause.subscribe();
        Box::pin(async move {
            // The sender lives as long as the entry.
            let _ = pause.wait_for(Option::is_some).await;
        })
    }

    fn known(&self) -> u64 {
        self.shared.vitals.get().list_revision
    }

    fn wait(&self) -> Span {
        match *self.shared.servers_pause.borrow() {
            Some(Span::ZERO) => SERVERS_WAIT,
            _ => SERVERS_WAIT_READER,
        }
    }

    fn pace(&self) -> Duration {
        let pause = self.shared.servers_pause.borrow().unwrap_or(Span::ZERO);
        pause.as_duration().max(pace_of(&self.shared))
    }

    fn fresh(&self) {
        self.dependency.regained(self.shared.clock.now());
    }

    fn lost(&self, fault: Fault) {
        self.dependency
            .lost(self.shared.clock.now(), fault.as_str());
        self.shared.link.event(Event::ServersLost);
    }
}

fn removal_of(row: &Row) -> Removal {
    Removal {
        id: row.key.clone(),
        revision: row.revision,
    }
}

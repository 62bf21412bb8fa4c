//! Consumers of the followed tables: the configuration and the backend servers.

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
use crate::follow::Consumer;
use crate::shared::Shared;

/// An external dependency of the entry; logs once when it is lost and once when it is regained.
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

    fn mark_lost(&self, now: Time, fault: &'static str) {
        if self.lost_at.get().is_none() {
            self.lost_at.set(Some(now));
            log::warn!(event = "dependency_lost", name = self.name, fault = fault; "");
        }
    }

    fn mark_regained(&self, now: Time) {
        if let Some(lost) = self.lost_at.take() {
            let after = now.since(lost).as_millis();
            log::info!(event = "dependency_regained", name = self.name, after_ms = after; "");
        }
    }
}

/// Long-poll timeout for changes of the configuration. Each poll is a call from the share of all entries, and
/// newer versions are also announced by other entries.
const CONFIGURATION_POLL_TIMEOUT: Span = Span::from_seconds(25);
/// Long-poll timeout for changes of the list of backend servers while each entry reads it itself.
const SERVERS_POLL_TIMEOUT: Span = Span::from_seconds(10);
/// Long-poll timeout while this entry reads the list for others, which need confirmation that nothing
/// changed.
const DELEGATE_POLL_TIMEOUT: Span = Span::from_millis(500);
/// Base pause after changes of a feed, and the addition per entry: all entries together read as often as
/// a few would, and changes still take effect in time.
const FEED_PAUSE: Duration = Duration::from_millis(40);
const FEED_PAUSE_PER_ENTRY: Duration = Duration::from_millis(5);

/// Returns the pause after changes of a feed.
fn feed_pause(shared: &Shared) -> Duration {
    let members = u32::try_from(shared.status.get().members).unwrap_or(u32::MAX);
    FEED_PAUSE + FEED_PAUSE_PER_ENTRY * members.min(100)
}

/// Applies changes of the configuration's table.
pub struct ConfigurationConsumer {
    shared: Rc<Shared>,
    dependency: Dependency,
}

impl ConfigurationConsumer {
    /// Creates a consumer that sends events to the reducer.
    pub fn new(shared: Rc<Shared>) -> ConfigurationConsumer {
        ConfigurationConsumer {
            shared,
            dependency: Dependency::new("configuration"),
        }
    }

    /// Applies configurations and roll-out orders; the table also holds other rows.
    fn apply_rows(&self, rows: &[Row]) {
        for row in rows {
            self.apply_order(row);
            if !self.shared.codec.is_configuration_row(row) {
                continue;
            }
            match self.shared.codec.decode_catalog(&row.data) {
                Ok(catalog) => self.shared.handle.send_event(Event::Configured {
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

impl ConfigurationConsumer {
    /// Applies a roll-out order, if the row holds one.
    fn apply_order(&self, row: &Row) {
        match self.shared.codec.decode_rollout(row) {
            Some(Ok(order)) => self.shared.handle.send_event(Event::RolloutOrdered(order)),
            Some(Err(error)) => {
                log::warn!(event = "rollout_unreadable", key = row.key.as_str(), error = error.to_string().as_str(); "");
            }
            None => {}
        }
    }

    /// Returns the services whose roll-outs these rows order.
    fn rollout_services(&self, rows: &[Row]) -> Vec<SmolStr> {
        let codec = &self.shared.codec;
        let services = rows
            .iter()
            .filter_map(|row| codec.rollout_service(&row.key));
        services.collect()
    }
}

impl Consumer for ConfigurationConsumer {
    fn mark_requested(&self) {}

    fn replace(&self, rows: Rows) {
        self.apply_rows(&rows.rows);
        let ordered = self.rollout_services(&rows.rows);
        self.shared.handle.send_event(Event::RolloutsKnown(ordered));
    }

    fn apply(&self, changes: Changes) {
        self.apply_rows(&changes.written);
        for service in self.rollout_services(&changes.deleted) {
            self.shared
                .handle
                .send_event(Event::RolloutWithdrawn(service));
        }
    }

    fn wait_for_turn(&self) -> Pending<'_, ()> {
        Box::pin(std::future::ready(()))
    }

    fn known_revision(&self) -> u64 {
        0
    }

    fn poll_timeout(&self) -> Span {
        CONFIGURATION_POLL_TIMEOUT
    }

    fn pause(&self) -> Duration {
        feed_pause(&self.shared)
    }

    fn mark_current(&self) {
        let now = self.shared.clock.now();
        self.shared.configuration_confirmed_at.set(now);
        self.dependency.mark_regained(now);
    }

    fn mark_lost(&self, fault: Fault) {
        self.dependency
            .mark_lost(self.shared.clock.now(), fault.as_str());
    }
}

/// Applies changes of the backend servers' table.
pub struct ServersConsumer {
    shared: Rc<Shared>,
    dependency: Dependency,
    /// When the current read began.
    requested_at: Cell<Time>,
}

impl ServersConsumer {
    /// Creates a consumer that sends events to the reducer.
    pub fn new(shared: Rc<Shared>) -> ServersConsumer {
        ServersConsumer {
            shared,
            dependency: Dependency::new("servers"),
            requested_at: Cell::new(Time::ZERO),
        }
    }

    fn send_reading(&self, reading: Reading) {
        self.shared.handle.send_event(Event::Servers {
            reading,
            requested_at: self.requested_at.get(),
        });
    }

    /// Returns the servers that these rows announce, and the rows that announce none.
    fn decode_rows(&self, rows: &[Row]) -> (Vec<Server>, Vec<Row>) {
        let mut servers = Vec::new();
        let mut unusable = Vec::new();
        for row in rows {
            match self.shared.codec.decode_server(row) {
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

impl Consumer for ServersConsumer {
    fn mark_requested(&self) {
        self.requested_at.set(self.shared.clock.now());
    }

    fn replace(&self, rows: Rows) {
        let (servers, _) = self.decode_rows(&rows.rows);
        self.send_reading(Reading {
            revision: rows.revision,
            update: Update::All(servers),
        });
    }

    fn apply(&self, changes: Changes) {
        let (written, unusable) = self.decode_rows(&changes.written);
        let gone = unusable.iter().chain(&changes.deleted);
        let removed = gone.map(removal_from).collect();
        self.send_reading(Reading {
            revision: changes.revision,
            update: Update::Changes { written, removed },
        });
    }

    fn wait_for_turn(&self) -> Pending<'_, ()> {
        let mut pause = self.shared.servers_poll_interval.subscribe();
        Box::pin(async move {
            // The sender lives as long as the entry.
            let _ = pause.wait_for(Option::is_some).await;
        })
    }

    fn known_revision(&self) -> u64 {
        self.shared.status.get().list_revision
    }

    fn poll_timeout(&self) -> Span {
        match *self.shared.servers_poll_interval.borrow() {
            Some(Span::ZERO) => SERVERS_POLL_TIMEOUT,
            _ => DELEGATE_POLL_TIMEOUT,
        }
    }

    fn pause(&self) -> Duration {
        let pause = self
            .shared
            .servers_poll_interval
            .borrow()
            .unwrap_or(Span::ZERO);
        pause.as_duration().max(feed_pause(&self.shared))
    }

    fn mark_current(&self) {
        self.dependency.mark_regained(self.shared.clock.now());
    }

    fn mark_lost(&self, fault: Fault) {
        self.dependency
            .mark_lost(self.shared.clock.now(), fault.as_str());
        self.shared.handle.send_event(Event::ServersLost);
    }
}

fn removal_from(row: &Row) -> Removal {
    Removal {
        id: row.key.clone(),
        revision: row.revision,
    }
}

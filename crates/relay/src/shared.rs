//! What the tasks of one entry have in common.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use clock::Clock;
use clock::Span;
use clock::Time;
use gateway::catalog::Limits;
use gateway::gateway::Status;
use tokio::sync::watch;

use crate::adapter::Codec;
use crate::inbox::Handle;
use crate::metrics::Ages;
use crate::metrics::Metrics;
use crate::outbox;
use crate::pool::Pool;

/// Handed to every task.
pub struct Shared {
    /// The way to the loop.
    pub handle: Handle,
    /// The wires' names.
    pub codec: Rc<dyn Codec>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// The process's clock.
    pub clock: Clock,
    /// What is counted.
    pub metrics: Metrics,
    /// How the entry stands, as of the last step.
    pub status: Cell<Status>,
    /// How late the loop runs.
    pub lag: Cell<Span>,
    /// Counts on their way to other entries.
    pub outbox_stats: Cell<outbox::Stats>,
    /// When the configuration was known to be current.
    pub configuration_confirmed_at: Cell<Time>,
    /// Least pause between two reads of the list of backend servers; none while others read it.
    pub servers_poll_interval: watch::Sender<Option<Span>>,
    /// What callers may send now.
    pub limits: RefCell<Limits>,
    /// Whether callers may be sent here.
    pub ready: Cell<bool>,
    /// Whether a stop was asked for: callers are told to connect elsewhere.
    pub stopping: Cell<bool>,
    /// Names the next request.
    pub next_serial: Cell<u64>,
}

impl Shared {
    /// All metrics as text.
    pub fn metrics_text(&self) -> Vec<u8> {
        let now = self.clock.now();
        let ages = Ages {
            configuration_ms: now.since(self.configuration_confirmed_at.get()).as_millis(),
            servers_ms: self.status.get().list_age_ms,
        };
        self.metrics.render(
            &self.status.get(),
            ages,
            self.lag.get(),
            self.outbox_stats.get(),
        )
    }

    /// A number not used before.
    pub fn allocate_serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }
}

//! State shared by the tasks of one entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use clock::Clock;
use clock::Span;
use clock::Time;
use gateway::catalog::Limits;
use gateway::gateway::Status;
use intake::intake::Intake;
use tokio::sync::watch;

use crate::adapter::Codec;
use crate::inbox::Handle;
use crate::metrics::Ages;
use crate::metrics::Metrics;
use crate::outbox;
use crate::pool::Pool;
use crate::pulse::Pulse;
use crate::reach::Reach;

/// The shared state.
pub struct Shared {
    /// Sends messages to the loop.
    pub handle: Handle,
    /// Encodes and decodes messages on the wire.
    pub codec: Rc<dyn Codec>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Whether this entry reaches backend servers.
    pub reach: Reach,
    /// The process's clock.
    pub clock: Clock,
    /// Bounds on what callers send and leave unread.
    pub intake: Rc<Intake>,
    /// Time for which a caller may leave an answer unread.
    pub unread_timeout: Span,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Status of the entry as of the last step.
    pub status: Cell<Status>,
    /// Whether the process stood still.
    pub pulse: Pulse,
    /// Maximum lag of the loop.
    pub lag: Cell<Span>,
    /// State of the outbox.
    pub outbox_stats: Cell<outbox::Stats>,
    /// Time at which the configuration was last known to be current.
    pub configuration_confirmed_at: Cell<Time>,
    /// Least pause between two reads of the list of backend servers; `None` while other entries read it.
    pub servers_poll_interval: watch::Sender<Option<Span>>,
    /// Limits on callers' requests.
    pub limits: RefCell<Limits>,
    /// Whether the entry is ready for callers.
    pub ready: Cell<bool>,
    /// Whether a stop was requested, in which case callers are told to reconnect elsewhere.
    pub stopping: Cell<bool>,
    /// Number of the next request.
    pub next_serial: Cell<u64>,
}

impl Shared {
    /// Renders all metrics as text.
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

    /// Allocates a number for a request.
    pub fn allocate_serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }
}

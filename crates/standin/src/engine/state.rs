//! State of an engine.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use crate::configs;
use crate::engine::batch::Batch;
use crate::engine::cache::Cache;
use crate::engine::fault::Counts;
use crate::engine::fault::Fault;
use crate::engine::load::Load;
use crate::engine::order::Orders;
use crate::engine::stream::Stream;
use crate::gate::Gate;
use crate::server::Server;

/// Exit code of a process that crashed on a marked prompt.
const CRASH_CODE: i32 = 101;

/// Shared state of an engine's tasks.
pub struct State {
    pub config: configs::engine::Engine,
    pub fault: RefCell<Fault>,
    pub counts: RefCell<Counts>,
    pub gate: Gate,
    pub batch: Rc<Batch>,
    pub cache: RefCell<Cache>,
    pub orders: Orders,
    pub streams: RefCell<HashMap<String, Rc<Stream>>>,
    pub load: Cell<Load>,
    server: RefCell<Weak<Server>>,
}

impl State {
    /// Creates the state of an idle engine.
    pub fn new(config: configs::engine::Engine) -> State {
        let delay = Duration::from_millis(config.event_delay_ms);
        State {
            fault: RefCell::default(),
            counts: RefCell::default(),
            gate: Gate::default(),
            batch: Batch::new(config.slots),
            cache: RefCell::new(Cache::new(config.cache_blocks, delay, config.event_gap)),
            orders: Orders::new(config.checks_fencing),
            streams: RefCell::default(),
            load: Cell::new(Load::idle()),
            server: RefCell::default(),
            config,
        }
    }

    /// Sets the server that a crash kills.
    pub fn set_server(&self, server: &Rc<Server>) {
        *self.server.borrow_mut() = Rc::downgrade(server);
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: Fault) {
        self.gate.set_frozen(fault.frozen);
        *self.fault.borrow_mut() = fault;
    }

    /// Crashes: exits the process, or closes all sockets if other components share it.
    pub fn crash(&self) {
        if self.config.exit_on_crash {
            std::process::exit(CRASH_CODE);
        }
        self.streams.borrow_mut().clear();
        if let Some(server) = self.server.borrow().upgrade() {
            server.kill();
        }
    }

    /// Simulates work of `millis` milliseconds, longer while the engine is slow or frozen.
    pub async fn work_for(&self, millis: f64) {
        let slow = self.fault.borrow().slow;
        tokio::time::sleep(Duration::from_secs_f64(millis * slow / 1_000.0)).await;
        self.gate.waiter().wait().await;
    }

    /// Returns the stream with this id.
    pub fn stream(&self, id: &str) -> Option<Rc<Stream>> {
        self.streams.borrow().get(id).cloned()
    }
}

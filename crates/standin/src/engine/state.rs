//! What an engine holds.

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

/// Exit code of a process that died on a marked prompt.
const CRASH_CODE: i32 = 101;

/// All that an engine holds.
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
    /// An engine that has done nothing yet.
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
            load: Cell::new(Load::now()),
            server: RefCell::default(),
            config,
        }
    }

    /// Names the listener that dies with the engine.
    pub fn set_server(&self, server: &Rc<Server>) {
        *self.server.borrow_mut() = Rc::downgrade(server);
    }

    /// Orders a fault, in place of the one before.
    pub fn set_fault(&self, fault: Fault) {
        self.gate.set_frozen(fault.frozen);
        *self.fault.borrow_mut() = fault;
    }

    /// Dies: the process ends, or in a shared process every socket is closed.
    pub fn crash(&self) {
        if self.config.exit_on_crash {
            std::process::exit(CRASH_CODE);
        }
        self.streams.borrow_mut().clear();
        if let Some(server) = self.server.borrow().upgrade() {
            server.kill();
        }
    }

    /// Takes so many milliseconds, or longer while the engine is slow or frozen.
    pub async fn spend(&self, millis: f64) {
        let slow = self.fault.borrow().slow;
        tokio::time::sleep(Duration::from_secs_f64(millis * slow / 1_000.0)).await;
        self.gate.pass().wait().await;
    }

    /// The stream of that id.
    pub fn stream(&self, id: &str) -> Option<Rc<Stream>> {
        self.streams.borrow().get(id).cloned()
    }
}

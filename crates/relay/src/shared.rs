//! What the tasks of one entry have in common.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use clock::Clock;
use gateway::book::Limits;

use crate::adapter::Codec;
use crate::link::Link;
use crate::pool::Pool;

/// Handed to every task.
pub struct Shared {
    /// The way to the loop.
    pub link: Link,
    /// The wires' names.
    pub codec: Rc<dyn Codec>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// The process's clock.
    pub clock: Clock,
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
    /// A number not used before.
    pub fn serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }
}

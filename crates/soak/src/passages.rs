//! What the proxy in front of an entry sees of callers' connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use clock::Clock;
use clock::Time;

/// One connection through the proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Passage {
    /// Whether the entry's port took the connection.
    pub is_taken: bool,
    /// Time at which bytes of the caller were last handed to the entry's socket, before its side ended.
    pub delivered_at: Option<Time>,
    /// Time at which the entry's side of the connection ended.
    pub ended_at: Option<Time>,
    /// Whether its side was reset: the entry's process hadn't read all of the bytes.
    pub is_unread: bool,
}

/// Connections by the callers' addresses; a later one from the same address replaces the earlier one.
pub struct Passages {
    clock: Clock,
    open: RefCell<BTreeMap<SocketAddr, Passage>>,
}

impl Passages {
    /// Creates the record of a run.
    pub fn new(clock: Clock) -> Passages {
        Passages {
            clock,
            open: RefCell::default(),
        }
    }

    /// Returns what was seen of a caller's connection.
    pub fn get(&self, caller: SocketAddr) -> Option<Passage> {
        self.open.borrow().get(&caller).copied()
    }

    /// Records a connection from a caller, which the entry hasn't taken yet.
    pub fn record_opened(&self, caller: SocketAddr) {
        self.open.borrow_mut().insert(caller, Passage::default());
    }

    /// Records that the entry's port took the connection.
    pub fn record_taken(&self, caller: SocketAddr) {
        self.update(caller, |passage, _| passage.is_taken = true);
    }

    /// Records that bytes are handed to the entry's socket.
    pub fn record_delivered(&self, caller: SocketAddr) {
        self.update(caller, |passage, now| {
            if passage.ended_at.is_none() {
                passage.delivered_at = Some(now);
            }
        });
    }

    /// Records that the entry's side ended, and whether it was reset.
    pub fn record_ended(&self, caller: SocketAddr, is_unread: bool) {
        self.update(caller, |passage, now| {
            passage.ended_at = Some(now);
            passage.is_unread = is_unread;
        });
    }

    fn update(&self, caller: SocketAddr, change: impl Fn(&mut Passage, Time)) {
        if let Some(passage) = self.open.borrow_mut().get_mut(&caller) {
            change(passage, self.clock.now());
        }
    }
}

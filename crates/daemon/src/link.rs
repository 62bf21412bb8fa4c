//! The way from the I/O tasks to the loop that owns the reducer.

use std::cell::Cell;

use entry::arrival::Arrival;
use entry::effect::Addresses;
use entry::effect::Command;
use entry::event::Event;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use request::ticket::Ticket;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use verdict::Refusal;

/// What tasks tell the loop.
pub enum Message {
    /// Something happened that nobody waits for.
    Event(Event),
    /// A request arrived; its task takes commands from now on.
    Open {
        /// Its serial.
        serial: u64,
        /// What it asks for.
        arrival: Arrival,
        /// The way to its task.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// A request's task is over.
    Closed {
        /// Its serial.
        serial: u64,
    },
    /// A caller asks for addresses.
    Addresses {
        /// Its key.
        key: Option<SmolStr>,
        /// Prefix hash of its next request.
        prefix: Option<u64>,
        /// The way back.
        reply: oneshot::Sender<Addresses>,
    },
    /// A caller wants a request cancelled.
    Cancel {
        /// Its key.
        key: Option<SmolStr>,
        /// The request's name.
        request: SmolStr,
        /// The way back; none when it was done.
        reply: oneshot::Sender<Option<Refusal>>,
    },
    /// A peer asks for a ticket to be spent.
    Spend {
        /// The ticket.
        ticket: Ticket,
        /// The way back.
        reply: oneshot::Sender<Answer>,
    },
    /// A peer hands its ledgers on.
    Inherit {
        /// What it hands on.
        estates: Vec<Estate>,
        /// The way back.
        reply: oneshot::Sender<Option<Incarnation>>,
    },
}

/// A task's end of the way. Cheap to share within the thread.
pub struct Link {
    messages: mpsc::UnboundedSender<Message>,
    next_serial: Cell<u64>,
}

impl Link {
    /// A way, and the loop's end of it.
    pub fn new() -> (Link, mpsc::UnboundedReceiver<Message>) {
        let (messages, receiver) = mpsc::unbounded_channel();
        let link = Link {
            messages,
            next_serial: Cell::new(1),
        };
        (link, receiver)
    }

    /// Tells the loop something. After the loop's end nobody listens, and nothing needs to.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Tells the loop that something happened.
    pub fn event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// The serial of a new request.
    pub fn serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }
}

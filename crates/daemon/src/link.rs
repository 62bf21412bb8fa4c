//! Channel from the I/O tasks to the event loop that owns the reducer.

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

/// Message from a task to the loop.
pub enum Message {
    /// An event that needs no reply.
    Event(Event),
    /// A request arrived; its task accepts commands from now on.
    Open {
        /// Serial number of the request.
        serial: u64,
        /// The request.
        arrival: Arrival,
        /// Channel to the request's task.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// A request's task has ended.
    Closed {
        /// Serial number of the request.
        serial: u64,
    },
    /// A caller asks which entries to use.
    Addresses {
        /// API key of the caller.
        key: Option<SmolStr>,
        /// Prefix hash of the caller's next request.
        prefix: Option<u64>,
        /// Receives the addresses.
        reply: oneshot::Sender<Addresses>,
    },
    /// A caller cancels a request.
    Cancel {
        /// API key of the caller.
        key: Option<SmolStr>,
        /// Identifier of the request.
        request: SmolStr,
        /// Receives the refusal, or `None` if the request was cancelled.
        reply: oneshot::Sender<Option<Refusal>>,
    },
    /// A peer asks to spend a ticket.
    Spend {
        /// The ticket to spend.
        ticket: Ticket,
        /// Receives the ledger's answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A peer hands its ledgers over.
    Inherit {
        /// The ledgers.
        estates: Vec<Estate>,
        /// Receives the incarnation that accepted the ledgers, or `None` if they were declined.
        reply: oneshot::Sender<Option<Incarnation>>,
    },
}

/// Sending half of the channel, shared by the tasks of the thread.
pub struct Link {
    messages: mpsc::UnboundedSender<Message>,
    next_serial: Cell<u64>,
}

impl Link {
    /// Creates the channel and returns both halves.
    pub fn new() -> (Link, mpsc::UnboundedReceiver<Message>) {
        let (messages, receiver) = mpsc::unbounded_channel();
        let link = Link {
            messages,
            next_serial: Cell::new(1),
        };
        (link, receiver)
    }

    /// Sends a message; ignored after the loop has ended.
    pub fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    /// Sends an event that needs no reply.
    pub fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Allocates the serial number of a new request.
    pub fn allocate_serial(&self) -> u64 {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        serial
    }
}

//! The way of tasks to the loop.

use clock::Clock;
use clock::Time;
use gateway::arrival::Arrival;
use gateway::charging::Answer;
use gateway::effect::Addresses;
use gateway::effect::Command;
use gateway::event::Event;
use policy::charge::Charge;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// What a task tells the loop.
pub enum Message {
    /// An event as it is.
    Event(Event),
    /// A request was read; its task takes commands.
    Open {
        /// Names it.
        serial: u64,
        /// What was read.
        arrival: Box<Arrival>,
        /// Where its commands go.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// The task of a request has ended.
    Closed {
        /// Of which.
        serial: u64,
    },
    /// Another entry asks for a charge.
    Charge {
        /// What is to be charged.
        charge: Charge,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<Answer>>,
    },
    /// Someone asks for addresses.
    Addresses {
        /// The caller's availability zone.
        zone: Option<SmolStr>,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<Addresses>>,
    },
}

/// A message, and when it was sent.
pub struct Sent {
    /// When.
    pub at: Time,
    /// What.
    pub message: Message,
}

/// Sends messages to the loop; bounded by the connections that tasks serve.
#[derive(Clone)]
pub struct Link {
    clock: Clock,
    sender: mpsc::UnboundedSender<Sent>,
}

impl Link {
    /// A link and the loop's end of it.
    pub fn new(clock: Clock) -> (Link, mpsc::UnboundedReceiver<Sent>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Link { clock, sender }, receiver)
    }

    /// Sends a message; after the loop has ended nobody waits for it.
    pub fn send(&self, message: Message) {
        let at = self.clock.now();
        let _ = self.sender.send(Sent { at, message });
    }

    /// Sends an event.
    pub fn event(&self, event: Event) {
        self.send(Message::Event(event));
    }
}

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
    pub sent_at: Time,
    /// What.
    pub message: Message,
}

/// Sends messages to the loop; bounded by the connections that tasks serve.
#[derive(Clone)]
pub struct Handle {
    clock: Clock,
    control: mpsc::UnboundedSender<Sent>,
    requests: mpsc::UnboundedSender<Sent>,
}

/// The loop's end of a link.
pub struct Inbox {
    control: mpsc::UnboundedReceiver<Sent>,
    requests: mpsc::UnboundedReceiver<Sent>,
}

impl Handle {
    /// A link and the loop's end of it.
    pub fn new(clock: Clock) -> (Handle, Inbox) {
        let (control, control_receiver) = mpsc::unbounded_channel();
        let (requests, requests_receiver) = mpsc::unbounded_channel();
        let handle = Handle {
            clock,
            control,
            requests,
        };
        let inbox = Inbox {
            control: control_receiver,
            requests: requests_receiver,
        };
        (handle, inbox)
    }

    /// Sends a message; after the loop has ended nobody waits for it.
    pub fn send(&self, message: Message) {
        let sent_at = self.clock.now();
        let channel = match message.is_control() {
            true => &self.control,
            false => &self.requests,
        };
        let _ = channel.send(Sent { sent_at, message });
    }

    /// Sends an event.
    pub fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }
}

impl Inbox {
    /// The next message: news first, each kind in the order in which it was sent.
    ///
    /// After a freeze, or in an overload, requests would go out before the news that their server leaves.
    pub async fn next(&mut self) -> Option<Sent> {
        tokio::select! {
            biased;
            Some(sent) = self.control.recv() => Some(sent),
            sent = self.requests.recv() => sent,
        }
    }
}

impl Message {
    /// Whether it says something of servers, configuration, peers or duties, rather than of a single request.
    fn is_control(&self) -> bool {
        let Message::Event(event) = self else {
            return false;
        };
        match event {
            Event::Configured { .. }
            | Event::RolloutOrdered(_)
            | Event::RolloutWithdrawn(_)
            | Event::RolloutsKnown(_)
            | Event::Servers(_)
            | Event::ServersLost
            | Event::Store { .. }
            | Event::DutyAnswered { .. }
            | Event::DigestReceived(_)
            | Event::SettingsRead(_)
            | Event::StopRequested
            | Event::Tick => true,
            Event::Arrived { .. }
            | Event::CallerDisconnected { .. }
            | Event::LimitReported { .. }
            | Event::Attempt { .. }
            | Event::AddressesRequested { .. }
            | Event::ChargeRequested { .. }
            | Event::ChargeAnswered { .. }
            | Event::Refunded { .. } => false,
        }
    }
}

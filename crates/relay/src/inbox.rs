//! The inbox through which tasks send messages to the loop.

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

/// A message from a task to the loop.
pub enum Message {
    /// An event for the reducer.
    Event(Event),
    /// A request was read; its task accepts commands.
    Open {
        /// The entry's number of the request.
        serial: u64,
        /// The decoded request.
        arrival: Box<Arrival>,
        /// The channel to the request's task.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// The task of a request has ended.
    Closed {
        /// The request's number.
        serial: u64,
    },
    /// Another entry requests a charge.
    Charge {
        /// The charge to make.
        charge: Charge,
        /// The channel for the answer.
        reply: oneshot::Sender<Option<Answer>>,
    },
    /// A client queries for addresses.
    Addresses {
        /// The caller's availability zone.
        zone: Option<SmolStr>,
        /// The channel for the answer.
        reply: oneshot::Sender<Option<Addresses>>,
    },
}

/// A message with the time at which it was sent.
pub struct Sent {
    /// Time of sending.
    pub sent_at: Time,
    /// The message.
    pub message: Message,
}

/// Sends messages to the loop; unbounded, but limited by the number of open connections.
#[derive(Clone)]
pub struct Handle {
    clock: Clock,
    control: mpsc::UnboundedSender<Sent>,
    requests: mpsc::UnboundedSender<Sent>,
}

/// The receiving end, which the loop owns.
pub struct Inbox {
    control: mpsc::UnboundedReceiver<Sent>,
    requests: mpsc::UnboundedReceiver<Sent>,
}

impl Handle {
    /// Creates an inbox and a handle to it.
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

    /// Sends a message; it is dropped once the loop has ended.
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
    /// Receives the next message: control messages first, each kind in the order of sending.
    ///
    /// After a freeze or under overload, requests would otherwise be forwarded to a server before the message
    /// that it is leaving is handled.
    pub async fn next(&mut self) -> Option<Sent> {
        tokio::select! {
            biased;
            Some(sent) = self.control.recv() => Some(sent),
            sent = self.requests.recv() => sent,
        }
    }

    /// Returns the next message, in the same order, if there is one by now.
    pub fn take(&mut self) -> Option<Sent> {
        let control = self.control.try_recv();
        control.or_else(|_| self.requests.try_recv()).ok()
    }
}

impl Message {
    /// Returns whether this concerns servers, configuration, peers or duties rather than a single request.
    fn is_control(&self) -> bool {
        let Message::Event(event) = self else {
            return false;
        };
        match event {
            Event::Configured { .. }
            | Event::RolloutOrdered(_)
            | Event::RolloutWithdrawn(_)
            | Event::RolloutsKnown(_)
            | Event::Servers { .. }
            | Event::ServersLost
            | Event::NoticeReceived { .. }
            | Event::IsolationChanged { .. }
            | Event::TunnelsChanged { .. }
            | Event::Store { .. }
            | Event::DutyAnswered { .. }
            | Event::DigestReceived(_)
            | Event::SettingsRead(_)
            | Event::StopRequested { .. }
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

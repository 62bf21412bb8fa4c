//! Connects the reducer to other entries in both directions.

use std::rc::Rc;

use config::message::Message as ConfigMessage;
use entry::event::Event;
use member::digest::Digest;
use peer::client;
use peer::receiver::Charge;
use peer::receiver::Pending;
use peer::receiver::Receiver;
use peer::tunnel;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use request::signer::Signer;
use request::ticket::Ticket;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::link::Link;
use crate::link::Message;

/// Client of other entries. Never blocks the caller; answers arrive as events.
pub struct Peers {
    link: Rc<Link>,
    client: client::Peers,
    incarnation: Incarnation,
    tickets: Rc<Signer>,
}

impl Peers {
    /// Creates a client for `incarnation`; `tickets` signs the tickets that it sends.
    pub fn new(
        link: Rc<Link>,
        client: client::Peers,
        incarnation: Incarnation,
        tickets: Signer,
    ) -> Peers {
        Peers {
            link,
            client,
            incarnation,
            tickets: Rc::new(tickets),
        }
    }

    /// Asks a peer to spend a ticket.
    pub fn request_spend(&self, serial: u64, address: SmolStr, ticket: Ticket) {
        let client = self.client.clone();
        let link = Rc::clone(&self.link);
        let signed = self.tickets.sign(&ticket);
        tokio::task::spawn_local(async move {
            let answer = client.spend(&address, &signed).await.ok();
            link.send_event(Event::SpendAnswered { serial, answer });
        });
    }

    /// Hands ledgers over to a peer.
    pub fn offer_estates(&self, address: SmolStr, estates: Vec<Estate>) {
        let client = self.client.clone();
        let link = Rc::clone(&self.link);
        tokio::task::spawn_local(async move {
            let heir = client.inherit(&address, &estates).await.unwrap_or(None);
            link.send_event(Event::EstatesAccepted { heir });
        });
    }

    /// Sends a digest; a lost one is superseded by the next.
    pub fn send_digest(&self, address: SmolStr, digest: Digest) {
        let client = self.client.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = client.digest(&address, &digest).await {
                log::debug!(event = "digest_lost", peer = address.as_str(), error = error.0.as_str(); "");
            }
        });
    }

    /// Sends a message of the configuration protocol; the protocol tolerates its loss.
    pub fn send_configure(&self, address: SmolStr, message: ConfigMessage) {
        let client = self.client.clone();
        let incarnation = self.incarnation;
        tokio::task::spawn_local(async move {
            let Ok(bytes) = serde_json::to_vec(&message) else {
                return;
            };
            if let Err(error) = client.configure(&address, incarnation, &bytes).await {
                log::debug!(event = "configure_lost", peer = address.as_str(), error = error.0.as_str(); "");
            }
        });
    }
}

/// Handles calls from peers.
pub struct PeerHandler {
    link: Rc<Link>,
    tickets: Signer,
}

impl PeerHandler {
    /// Creates a handler that forwards calls to the event loop; `tickets` unseals tickets.
    pub fn new(link: Rc<Link>, tickets: Signer) -> PeerHandler {
        PeerHandler { link, tickets }
    }
}

impl Receiver for PeerHandler {
    fn connect(&self, _server: SmolStr) -> Pending<tunnel::Connection> {
        Box::pin(async { None })
    }

    fn spend(&self, ticket: SmolStr) -> Pending<Answer> {
        let (reply, answer) = oneshot::channel();
        if let Some(ticket) = self.tickets.verify(&ticket) {
            self.link.send(Message::Spend { ticket, reply });
        }
        Box::pin(async move { answer.await.ok() })
    }

    fn inherit(&self, estates: Vec<Estate>) -> Pending<Incarnation> {
        let (reply, answer) = oneshot::channel();
        self.link.send(Message::Inherit { estates, reply });
        Box::pin(async move { answer.await.ok().flatten() })
    }

    fn charge(&self, _account: u64, _tokens: u64) -> Pending<Charge> {
        Box::pin(async { None })
    }

    fn refund(&self, _bucket: u64, _tokens: u64) {
        log::warn!(event = "refund_unexpected"; "");
    }

    fn digest(&self, digest: Digest) {
        self.link.send_event(Event::DigestReceived(digest));
    }

    fn configure(&self, from: u64, message: Vec<u8>) {
        match serde_json::from_slice(&message) {
            Ok(message) => self.link.send_event(Event::ConfigureReceived {
                from: Incarnation(from),
                message,
            }),
            Err(error) => {
                log::warn!(event = "message_unreadable", error = error.to_string().as_str(); "");
            }
        }
    }
}

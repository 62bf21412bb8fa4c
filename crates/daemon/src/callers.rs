//! Answers callers: each call becomes an event, a task of its own where needed, and an answer.

use std::rc::Rc;

use entry::arrival::Arrival;
use entry::arrival::Work;
use entry::effect::Addresses;
use front::call::Call;
use front::call::Credentials;
use front::call::Plain;
use front::chat::Chat;
use front::handler::Handler;
use front::handler::ResponseFuture;
use front::response;
use front::response::Payload;
use http::Response;
use request::id::Id;
use request::id::Incarnation;
use request::signer::Signer;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use verdict::Reason;
use verdict::Refusal;
use xxhash_rust::xxh3::Xxh3;

use crate::flight::Flight;
use crate::flight::Shared;
use crate::link::Message;
use crate::output::Output;
use crate::plain::PlainFlight;

/// Answers the callers of one entry.
pub struct Callers {
    shared: Rc<Shared>,
    incarnation: Incarnation,
    tickets: Rc<Signer>,
}

impl Callers {
    /// Answers in the name of this incarnation; `tickets` seals the tickets it gives out.
    pub fn new(shared: Rc<Shared>, incarnation: Incarnation, tickets: Signer) -> Callers {
        Callers {
            shared,
            incarnation,
            tickets: Rc::new(tickets),
        }
    }

    /// The name of a new request.
    fn new_id(&self) -> Id {
        Id {
            incarnation: self.incarnation,
            serial: self.shared.link.serial(),
        }
    }

    /// Opens a model call.
    fn model(&self, credentials: Credentials, chat: Chat) -> ResponseFuture {
        let id = self.new_id();
        let (head, answer) = oneshot::channel();
        let output = Output::new(id.to_string(), chat.stream, head);
        let arrival = model_arrival(&credentials, &chat);
        let commands = self.open(id, arrival);
        let shared = Rc::clone(&self.shared);
        let flight = Flight::new(shared, id, chat, credentials.offset, commands, output);
        tokio::task::spawn_local(flight.run());
        pending(answer)
    }

    /// Opens a plain call.
    fn plain(&self, credentials: Credentials, call: Plain) -> ResponseFuture {
        let id = self.new_id();
        let (head, answer) = oneshot::channel();
        let arrival = plain_arrival(&credentials, &call);
        let commands = self.open(id, arrival);
        let shared = Rc::clone(&self.shared);
        let flight = PlainFlight::new(shared, id.serial, id.to_string(), call, commands, head);
        tokio::task::spawn_local(flight.run());
        pending(answer)
    }

    /// Tells the reducer of a request; what it commands comes through the channel.
    fn open(&self, id: Id, arrival: Arrival) -> mpsc::UnboundedReceiver<entry::effect::Command> {
        let (sender, commands) = mpsc::unbounded_channel();
        self.shared.link.send(Message::Open {
            serial: id.serial,
            arrival,
            commands: sender,
        });
        commands
    }

    /// Asks the reducer which entries to use.
    fn addresses(&self, key: Option<SmolStr>, prefix: Option<u64>) -> ResponseFuture {
        let (reply, answer) = oneshot::channel();
        self.shared
            .link
            .send(Message::Addresses { key, prefix, reply });
        let seal = Rc::clone(&self.tickets);
        Box::pin(async move {
            match answer.await {
                Ok(addresses) => addresses_answer(&addresses, &seal),
                Err(_) => stopped(),
            }
        })
    }

    /// Asks the reducer to cancel a request.
    fn cancel(&self, key: Option<SmolStr>, request: SmolStr) -> ResponseFuture {
        let (reply, answer) = oneshot::channel();
        let name = request.to_string();
        self.shared.link.send(Message::Cancel {
            key,
            request,
            reply,
        });
        Box::pin(async move {
            match answer.await {
                Ok(None) => response::json(&json!({"cancelled": name})),
                Ok(Some(refusal)) => response::refusal(&name, &refusal),
                Err(_) => stopped(),
            }
        })
    }
}

impl Handler for Callers {
    fn handle(&self, credentials: Credentials, call: Call) -> ResponseFuture {
        match call {
            Call::Addresses { prefix } => self.addresses(credentials.key, prefix),
            Call::Model(chat) => self.model(credentials, chat),
            Call::Plain(call) => self.plain(credentials, call),
            Call::Cancel { request } => self.cancel(credentials.key, request),
        }
    }
}

/// The answer once its task has given one.
fn pending(answer: oneshot::Receiver<Response<Payload>>) -> ResponseFuture {
    Box::pin(async move { answer.await.unwrap_or_else(|_| stopped()) })
}

/// The answer when the process stops under the call.
fn stopped() -> Response<Payload> {
    let refusal = Refusal::may_have_run(Reason::Leaving, "this entry has stopped");
    response::refusal("", &refusal)
}

/// A model call as the reducer sees it.
fn model_arrival(credentials: &Credentials, chat: &Chat) -> Arrival {
    Arrival {
        key: credentials.key.clone(),
        deployment: chat.deployment.clone(),
        work: Work::Model {
            prompt_tokens: chat.prompt_tokens,
            max_new_tokens: chat.max_new_tokens,
            prefix: chat.prefix,
        },
        fingerprint: chat.fingerprint,
        idempotency_key: None,
        ticket: None,
        resume: credentials.resume.clone(),
        offset: credentials.offset,
    }
}

/// A plain call as the reducer sees it.
fn plain_arrival(credentials: &Credentials, call: &Plain) -> Arrival {
    let mut hasher = Xxh3::new();
    for part in [
        call.deployment.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
    ] {
        hasher.update(part);
        hasher.update(b"\0");
    }
    hasher.update(&call.body);
    Arrival {
        key: credentials.key.clone(),
        deployment: call.deployment.clone(),
        work: Work::Plain {
            method: call.method.clone(),
            path: call.path.clone(),
        },
        fingerprint: hasher.digest(),
        idempotency_key: credentials.idempotency_key.clone(),
        ticket: credentials.ticket.clone(),
        resume: None,
        offset: 0,
    }
}

/// The answer to a question for addresses.
fn addresses_answer(addresses: &Addresses, seal: &Signer) -> Response<Payload> {
    let entries: Vec<_> = addresses
        .entries
        .iter()
        .map(|one| {
            json!({
                "address": one.address.as_str(),
                "zone": one.zone.as_str(),
                "weight": one.weight,
            })
        })
        .collect();
    let tickets: Vec<String> = addresses.tickets.iter().map(|one| seal.sign(one)).collect();
    response::json(&json ! ( {
        "addresses": entries,
        "ttl_ms": addresses.ttl.as_millis(),
        "tickets": tickets,
    }))
}

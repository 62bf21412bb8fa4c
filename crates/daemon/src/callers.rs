//! Handles calls from callers: turns each into an event for the reducer and, if needed, a task.

use std::rc::Rc;

use entry::arrival::Arrival;
use entry::arrival::Work;
use entry::arrival::leaving_refusal;
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

/// Handler for the callers of one entry.
pub struct Callers {
    shared: Rc<Shared>,
    incarnation: Incarnation,
    tickets: Rc<Signer>,
}

impl Callers {
    /// Creates a handler for this incarnation; `tickets` signs the tickets that it issues.
    pub fn new(shared: Rc<Shared>, incarnation: Incarnation, tickets: Signer) -> Callers {
        Callers {
            shared,
            incarnation,
            tickets: Rc::new(tickets),
        }
    }

    /// Returns the identifier of a new request.
    fn new_id(&self) -> Id {
        Id {
            incarnation: self.incarnation,
            serial: self.shared.link.allocate_serial(),
        }
    }

    /// Starts the task of a model call.
    fn start_model_call(&self, credentials: Credentials, chat: Chat) -> ResponseFuture {
        let id = self.new_id();
        let (head, answer) = oneshot::channel();
        let output = Output::new(id.to_string(), chat.stream, head);
        let arrival = model_arrival(&credentials, &chat);
        let commands = self.announce(id, arrival);
        let shared = Rc::clone(&self.shared);
        let flight = Flight::new(shared, id, chat, credentials.offset, commands, output);
        tokio::task::spawn_local(flight.run());
        await_response(answer)
    }

    /// Starts the task of a plain call.
    fn start_plain_call(&self, credentials: Credentials, call: Plain) -> ResponseFuture {
        let id = self.new_id();
        let (head, answer) = oneshot::channel();
        let arrival = plain_arrival(&credentials, &call);
        let commands = self.announce(id, arrival);
        let shared = Rc::clone(&self.shared);
        let flight = PlainFlight::new(shared, id.serial, id.to_string(), call, commands, head);
        tokio::task::spawn_local(flight.run());
        await_response(answer)
    }

    /// Announces a request to the reducer and returns the channel for its commands.
    fn announce(
        &self,
        id: Id,
        arrival: Arrival,
    ) -> mpsc::UnboundedReceiver<entry::effect::Command> {
        let (sender, commands) = mpsc::unbounded_channel();
        self.shared.link.send(Message::Open {
            serial: id.serial,
            arrival,
            commands: sender,
        });
        commands
    }

    /// Asks the reducer which entries the caller should use.
    fn addresses(&self, key: Option<SmolStr>, prefix: Option<u64>) -> ResponseFuture {
        let (reply, answer) = oneshot::channel();
        self.shared
            .link
            .send(Message::Addresses { key, prefix, reply });
        let signer = Rc::clone(&self.tickets);
        Box::pin(async move {
            match answer.await {
                Ok(addresses) => addresses_answer(&addresses, &signer),
                Err(_) => unread_response(),
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
                Ok(None) => response::json(&json ! ( {
                "cancelled" : name }
                )),
                Ok(Some(refusal)) => response::refusal(&name, &refusal),
                Err(_) => unread_response(),
            }
        })
    }
}

impl Handler for Callers {
    fn handle(&self, credentials: Credentials, call: Call) -> ResponseFuture {
        match call {
            Call::Addresses { prefix } => self.addresses(credentials.key, prefix),
            Call::Model(chat) => self.start_model_call(credentials, chat),
            Call::Plain(call) => self.start_plain_call(credentials, call),
            Call::Cancel { request } => self.cancel(credentials.key, request),
        }
    }
}

/// Awaits the response of a call's task.
fn await_response(answer: oneshot::Receiver<Response<Payload>>) -> ResponseFuture {
    let lost = || Refusal::may_have_run(Reason::BackendFailed, "the answer was lost here");
    Box::pin(async move {
        let response = answer.await;
        response.unwrap_or_else(|_| response::refusal("", &lost()))
    })
}

/// Creates the response to a query that the event loop ended without handling; it answers those that it handles at once.
fn unread_response() -> Response<Payload> {
    response::refusal("", &leaving_refusal())
}

/// Returns the refusal of a call that was open as the event loop ended.
pub(crate) fn ended_refusal(may_have_run: bool) -> Refusal {
    match may_have_run {
        true => Refusal::may_have_run(Reason::Leaving, "this entry has stopped"),
        false => leaving_refusal(),
    }
}

/// Converts a model call for the reducer.
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

/// Converts a plain call for the reducer.
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

/// Creates the response with addresses and tickets.
fn addresses_answer(addresses: &Addresses, signer: &Signer) -> Response<Payload> {
    let entries: Vec<_> = addresses
        .entries
        .iter()
        .map(|entry| {
            json!({
                "address": entry.address.as_str(),
                "zone": entry.zone.as_str(),
                "weight": entry.weight,
            })
        })
        .collect();
    let tickets: Vec<String> = addresses
        .tickets
        .iter()
        .map(|ticket| signer.sign(ticket))
        .collect();
    response::json(&json ! ( {
        "addresses": entries,
        "ttl_ms": addresses.ttl.as_millis(),
        "tickets": tickets,
    }))
}

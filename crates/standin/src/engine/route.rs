//! Routes HTTP requests to the engine's operations.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::engine::fault::Fault;
use crate::engine::generate;
use crate::engine::order::Order;
use crate::engine::relay;
use crate::engine::state::State;
use crate::engine::stream::Phase;
use crate::engine::stream::Snapshot;
use crate::engine::stream::Stream;
use crate::server;
use crate::server::Answer;
use crate::service;
use crate::tokens::Chat;

/// Handles one request.
pub async fn handle(state: Rc<State>, request: Request<Incoming>) -> io::Result<Answer> {
    let path = request.uri().path().to_owned();
    if let Some(rest) = path.strip_prefix("/control/") {
        return control(&state, rest, request).await;
    }
    state.gate.waiter().wait().await;
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => chat(&state, request).await,
        (&Method::GET, ["v1", "streams", id]) => Ok(resume(&state, id, &request)),
        (&Method::DELETE, ["v1", "streams", id]) => Ok(cancel(&state, id)),
        (&Method::POST, ["v1", "streams", id, "export"]) => export(&state, id),
        (&Method::POST, ["v1", "streams", id, "import"]) => import(&state, id, request).await,
        (&Method::GET, ["v1", "load"]) => server::json(StatusCode::OK, &state.load.get().report()),
        (&Method::GET, ["v1", "cache-events"]) => events(&state, &request),
        (&Method::POST, ["v1", "orders"]) => order(state, request).await,
        (&Method::GET, ["v1", "state"]) => server::json(StatusCode::OK, &state.orders.status()),
        _ => Ok(server::empty(StatusCode::NOT_FOUND)),
    }
}

async fn control(state: &State, path: &str, request: Request<Incoming>) -> io::Result<Answer> {
    match path {
        "counts" => server::json(StatusCode::OK, &*state.counts.borrow()),
        "fault" => match server::read_json::<Fault>(request).await? {
            Ok(fault) => {
                state.set_fault(fault);
                Ok(server::empty(StatusCode::OK))
            }
            Err(refusal) => Ok(refusal),
        },
        _ => Ok(server::empty(StatusCode::NOT_FOUND)),
    }
}

async fn chat(state: &Rc<State>, request: Request<Incoming>) -> io::Result<Answer> {
    if state.fault.borrow().refuse || !state.orders.serves() {
        return Ok(service::not_started(state.fault.borrow().pause_ms));
    }
    let id = header(&request, "x-stream").unwrap_or_default();
    let priority = header(&request, "x-priority").and_then(|text| text.parse().ok());
    let chat: Chat = match server::read_json(request).await? {
        Ok(chat) => chat,
        Err(refusal) => return Ok(refusal),
    };
    if id.is_empty() || state.stream(&id).is_some() {
        let reason = Bytes::from_static(b"x-stream is missing or was used before\n");
        return Ok(server::plain(StatusCode::CONFLICT, reason));
    }
    let plan = chat.plan();
    let prompt_tokens = generate::prompt_tokens(&chat.text());
    let stream = Rc::new(Stream::new(plan, priority.unwrap_or(5), prompt_tokens));
    state
        .streams
        .borrow_mut()
        .insert(id.clone(), Rc::clone(&stream));
    count_start(state, &id, plan.seed);
    tokio::task::spawn_local(generate::start(Rc::clone(state), Rc::clone(&stream), chat));
    Ok(relay::respond(state, id, stream, 0))
}

fn count_start(state: &State, id: &str, seed: u64) {
    let mut counts = state.counts.borrow_mut();
    *counts.started.entry(id.to_owned()).or_default() += 1;
    *counts.prompts.entry(format!("{seed:016x}")).or_default() += 1;
}

fn resume(state: &Rc<State>, id: &str, request: &Request<Incoming>) -> Answer {
    let Some(stream) = state.stream(id) else {
        return server::empty(StatusCode::NOT_FOUND);
    };
    let offset = server::query_parameter(request, "offset").and_then(|text| text.parse().ok());
    state.counts.borrow_mut().resumed += 1;
    if stream.phase() == Phase::Parked {
        stream.set_phase(Phase::Running);
        tokio::task::spawn_local(generate::resume(Rc::clone(state), Rc::clone(&stream)));
    }
    relay::respond(state, id.to_owned(), stream, offset.unwrap_or(0))
}

fn cancel(state: &State, id: &str) -> Answer {
    let Some(stream) = state.streams.borrow_mut().remove(id) else {
        return server::empty(StatusCode::NOT_FOUND);
    };
    if stream.phase() != Phase::Finished {
        state.counts.borrow_mut().cancelled += 1;
    }
    stream.set_phase(Phase::Cancelled);
    server::empty(StatusCode::OK)
}

fn export(state: &State, id: &str) -> io::Result<Answer> {
    if state.fault.borrow().no_transfer {
        return Ok(server::empty(StatusCode::INTERNAL_SERVER_ERROR));
    }
    match state.stream(id) {
        Some(stream) => server::json(StatusCode::OK, &stream.export()),
        None => Ok(server::empty(StatusCode::NOT_FOUND)),
    }
}

async fn import(state: &State, id: &str, request: Request<Incoming>) -> io::Result<Answer> {
    if state.fault.borrow().no_transfer || !state.orders.serves() {
        return Ok(server::empty(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let snapshot: Snapshot = match server::read_json(request).await? {
        Ok(snapshot) => snapshot,
        Err(refusal) => return Ok(refusal),
    };
    if state.stream(id).is_some() {
        return Ok(server::empty(StatusCode::CONFLICT));
    }
    state.counts.borrow_mut().imported += 1;
    let stream = Rc::new(Stream::import(snapshot));
    state.streams.borrow_mut().insert(id.to_owned(), stream);
    Ok(server::empty(StatusCode::OK))
}

fn events(state: &State, request: &Request<Incoming>) -> io::Result<Answer> {
    let after = server::query_parameter(request, "after").and_then(|text| text.parse().ok());
    let events = state.cache.borrow().events(after.unwrap_or(0));
    server::json(StatusCode::OK, &json!({ "events": events }))
}

async fn order(state: Rc<State>, request: Request<Incoming>) -> io::Result<Answer> {
    let order: Order = match server::read_json(request).await? {
        Ok(order) => order,
        Err(refusal) => return Ok(refusal),
    };
    if let Err(fence) = state.orders.accept(&order) {
        state.counts.borrow_mut().fenced += 1;
        return server::json(StatusCode::CONFLICT, &json!({ "fence": fence }));
    }
    state.counts.borrow_mut().orders += 1;
    let time = Duration::from_millis(state.config.order_ms);
    tokio::task::spawn_local(async move { state.orders.execute(&order, time).await });
    Ok(server::empty(StatusCode::OK))
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

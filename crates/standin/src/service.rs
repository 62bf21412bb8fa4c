//! The stand-in plain service: echoes each call and counts its executions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crate::configs;
use crate::gate::Gate;
use crate::server;
use crate::server::Answer;
use crate::server::Server;

/// A running plain service.
pub struct Service {
    /// HTTP server of the service.
    pub server: Server,
    state: Rc<State>,
}

/// Fault that a test injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answers that the call was not started.
    pub refuse: bool,
    /// Pause that a refusal asks for, milliseconds; 0 for none.
    pub pause_ms: u64,
    /// Executes the call, then cuts the connection without a response.
    pub lose_answer: bool,
    /// Executes the call, then answers 500.
    pub fail: bool,
    /// Extra time for each call, milliseconds.
    pub delay_ms: u64,
    /// Blocks the start and the end of every call.
    pub frozen: bool,
}

/// Number of executions of each call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Keyed by method, path with query, and body, separated by spaces.
    pub executions: BTreeMap<String, u32>,
    /// Calls that were refused as not started.
    pub refused: u32,
}

#[derive(Serialize)]
struct Echo<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
}

struct State {
    config: configs::service::Service,
    fault: RefCell<Fault>,
    counts: RefCell<Counts>,
    gate: Gate,
}

/// Starts a plain service on the current `LocalSet`.
pub async fn spawn(config: configs::service::Service) -> io::Result<Service> {
    let listen = config.listen.clone();
    let state = Rc::new(State {
        config,
        fault: RefCell::default(),
        counts: RefCell::default(),
        gate: Gate::default(),
    });
    let shared = Rc::clone(&state);
    let handler = Rc::new(move |request| {
        let state = Rc::clone(&shared);
        Box::pin(handle(state, request)) as futures::future::LocalBoxFuture<'static, _>
    });
    let server = Server::bind(&listen, handler).await?;
    Ok(Service { server, state })
}

impl Service {
    /// Returns the executions so far.
    pub fn counts(&self) -> Counts {
        self.state.counts.borrow().clone()
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }
}

impl State {
    fn set_fault(&self, fault: Fault) {
        self.gate.set_frozen(fault.frozen);
        *self.fault.borrow_mut() = fault;
    }

    fn count_refusal(&self) {
        self.counts.borrow_mut().refused += 1;
    }

    fn count(&self, call: String) {
        let mut counts = self.counts.borrow_mut();
        *counts.executions.entry(call).or_default() += 1;
    }
}

async fn handle(state: Rc<State>, request: Request<Incoming>) -> io::Result<Answer> {
    match request.uri().path() {
        "/control/counts" => server::json(StatusCode::OK, &*state.counts.borrow()),
        "/control/fault" => match server::read_json(request).await? {
            Ok(fault) => {
                state.set_fault(fault);
                Ok(server::empty(StatusCode::OK))
            }
            Err(refusal) => Ok(refusal),
        },
        _ => call(state, request).await,
    }
}

async fn call(state: Rc<State>, request: Request<Incoming>) -> io::Result<Answer> {
    let mut gate = state.gate.waiter();
    gate.wait().await;
    let fault = state.fault.borrow().clone();
    if fault.refuse {
        state.count_refusal();
        return Ok(not_started(fault.pause_ms));
    }
    let method = request.method().to_string();
    let path = request
        .uri()
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    let body = server::read_body(request).await?;
    let body = String::from_utf8_lossy(&body);
    state.count(format!("{method} {path} {body}"));
    let millis = state.config.call_ms + fault.delay_ms;
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
    gate.wait().await;
    if fault.lose_answer {
        return Err(io::Error::other("answer lost on order"));
    }
    if fault.fail {
        return Ok(server::empty(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let echo = Echo {
        method: &method,
        path: &path,
        body: &body,
    };
    server::json(StatusCode::OK, &echo)
}

/// Returns the response for a request that was not started, and asks for a pause unless it is 0.
pub fn not_started(pause_ms: u64) -> Answer {
    let mut answer = server::empty(StatusCode::SERVICE_UNAVAILABLE);
    answer.headers_mut().insert(
        "x-not-started",
        hyper::header::HeaderValue::from_static("true"),
    );
    if pause_ms > 0 {
        let seconds = (pause_ms as f64 / 1_000.0).to_string();
        if let Ok(seconds) = hyper::header::HeaderValue::from_str(&seconds) {
            answer
                .headers_mut()
                .insert(hyper::header::RETRY_AFTER, seconds);
        }
    }
    answer
}

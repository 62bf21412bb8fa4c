//! The stand-in platform: table service, object store, instance list and cloud API in one.
//!
//! Paths below `/control/` are for tests only: instances, notices, faults and counters.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::server;
use crate::server::Answer;
use crate::server::Server;

use fault::Counts;
use fault::Fault;
use fault::Part;
use fleet::Fleet;
use tables::Tables;

mod cloud;
pub mod fault;
pub mod fleet;
pub mod objects;
pub mod tables;

/// A running platform.
pub struct Platform {
    /// HTTP server of the platform.
    pub server: Server,
    /// State that a test in the same process may inspect and change.
    pub state: Rc<RefCell<State>>,
}

/// State of the platform.
#[derive(Default)]
pub struct State {
    /// The table service.
    pub tables: Tables,
    /// The object store.
    pub objects: objects::Objects,
    /// Instances, notices and spares.
    pub fleet: Fleet,
    /// Injected faults.
    pub faults: fault::Faults,
    /// Counters of the table service.
    pub counts: Counts,
}

/// Starts a platform on the current `LocalSet`.
pub async fn spawn(listen: &str) -> io::Result<Platform> {
    let state = Rc::new(RefCell::new(State::default()));
    let shared = Rc::clone(&state);
    let handler = Rc::new(move |request| {
        let state = Rc::clone(&shared);
        Box::pin(handle(state, request)) as futures::future::LocalBoxFuture<'static, _>
    });
    let server = Server::bind(listen, handler).await?;
    Ok(Platform { server, state })
}

async fn handle(state: Rc<RefCell<State>>, request: Request<Incoming>) -> io::Result<Answer> {
    let path = request.uri().path().to_owned();
    if let Some(rest) = path.strip_prefix("/control/") {
        return control(&state, rest, request).await;
    }
    let Some(part) = Part::from_path(&path) else {
        return Ok(server::empty(StatusCode::NOT_FOUND));
    };
    let fault = state.borrow().faults.get(part);
    tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
    if fault.cut {
        return Err(io::Error::other("connection cut on order"));
    }
    if fault.down {
        return Ok(server::empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    let answer = match part {
        Part::Tables => tables::handle(&state, &path, request).await,
        Part::Objects => objects::handle(&state, &path, request).await,
        Part::Instances | Part::Cloud => cloud::handle(&state, &path, request).await,
    };
    tokio::time::sleep(Duration::from_millis(fault.answer_delay_ms)).await;
    answer
}

async fn control(
    state: &RefCell<State>,
    path: &str,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    match (request.method(), path) {
        (&Method::GET, "counts") => server::json(StatusCode::OK, &state.borrow().counts),
        (&Method::POST, "fault") => match server::read_json::<Fault>(request).await? {
            Ok(fault) => {
                state.borrow_mut().faults.set(fault);
                Ok(server::empty(StatusCode::OK))
            }
            Err(refusal) => Ok(refusal),
        },
        (&Method::POST, _) => cloud::control(state, path, request).await,
        _ => Ok(server::empty(StatusCode::NOT_FOUND)),
    }
}

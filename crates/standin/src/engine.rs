//! The stand-in model engine: batching, streams, prefix cache, KV export and orders.

use std::io;
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use hyper::Request;
use hyper::body::Incoming;

use crate::configs;
use crate::server::Answer;
use crate::server::Server;

use state::State;

mod batch;
mod cache;
pub mod fault;
mod generate;
mod load;
pub mod order;
mod relay;
mod route;
mod state;
mod stream;

/// A running engine.
pub struct Engine {
    /// HTTP server of the engine.
    pub server: Rc<Server>,
    state: Rc<State>,
}

/// Starts an engine on the current `LocalSet`.
pub async fn spawn(config: configs::engine::Engine) -> io::Result<Engine> {
    let listen = config.listen.clone();
    let state = Rc::new(State::new(config));
    let shared = Rc::clone(&state);
    let handler = Rc::new(move |request: Request<Incoming>| {
        let state = Rc::clone(&shared);
        Box::pin(route::handle(state, request)) as LocalBoxFuture<'static, io::Result<Answer>>
    });
    let server = Rc::new(Server::bind(&listen, handler).await?);
    state.set_server(&server);
    tokio::task::spawn_local(load::refresh_periodically(Rc::downgrade(&state)));
    Ok(Engine { server, state })
}

impl Engine {
    /// Returns the engine's counters.
    pub fn counts(&self) -> fault::Counts {
        self.state.counts.borrow().clone()
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: fault::Fault) {
        self.state.set_fault(fault);
    }

    /// Simulates a crash, as a crash mark or the end of a reclaim notice causes it.
    pub fn kill(&self) {
        self.server.kill();
        self.state.streams.borrow_mut().clear();
    }
}

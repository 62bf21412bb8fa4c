//! Server side of the calls between entries.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp;
use capnp_rpc::twoparty::VatNetwork;
use clock::Span;
use futures::AsyncReadExt;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::peer_capnp::Answer;
use wire::peer_capnp::door;
use wire::peer_capnp::entry;

use crate::configs::limit::Limit;
use crate::proof;
use crate::proof::Key;
use crate::proof::NONCE_BYTES;
use crate::proof::Side;
use crate::receiver::Charge;
use crate::receiver::Pending;
use crate::receiver::Receiver;
use crate::tunnel;

/// Delay before the next `accept` after a failed one.
const ACCEPT_PAUSE: Span = Span::from_millis(10);

/// Time without a call after which an ending server takes all calls for answered.
const SETTLING_TIME: Span = Span::from_millis(20);

/// Size of a Cap'n Proto word in bytes.
const WORD_BYTES: usize = 8;

/// Serves peers until `shutdown` turns true, then answers the calls that have arrived and ends all connections. Must run
/// within a `LocalSet`.
pub async fn serve(
    listener: TcpListener,
    key: Key,
    limit: Limit,
    receiver: Rc<dyn Receiver>,
    mut shutdown: watch::Receiver<bool>,
) {
    let calls = Calls::default();
    let mut connections = JoinSet::new();
    let mut unproved = Unproved::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = shutdown.wait_for(|is_shut_down| *is_shut_down) => break,
        };
        let Ok((socket, _)) = accepted else {
            unproved.evict_oldest();
            tokio::time::sleep(ACCEPT_PAUSE.as_duration()).await;
            continue;
        };
        let is_full = connections.len() >= limit.connections;
        if is_full && !unproved.evict_oldest() {
            log::warn!(event = "peer_refused", open = connections.len(); "");
            continue;
        }
        let authenticated = Rc::new(Cell::new(false));
        let task = connections.spawn_local(connection(
            socket,
            key.clone(),
            limit,
            Rc::clone(&receiver),
            calls.clone(),
            Rc::clone(&authenticated),
        ));
        unproved.push(task, authenticated);
        if is_full {
            // Lets the connection that gives way close.
            tokio::task::yield_now().await;
        }
    }
    drop(listener);
    calls.settle().await;
}

/// Calls of peers that wait for their answers. Messages whose loss is made good don't count.
#[derive(Clone, Default)]
struct Calls {
    open: Rc<Cell<usize>>,
    /// Number of calls so far.
    count: Rc<Cell<u64>>,
}

impl Calls {
    /// Waits for an answer, which counts as a call until it is given.
    async fn answer<T>(&self, answer: Pending<T>) -> Option<T> {
        self.count.set(self.count.get() + 1);
        self.open.set(self.open.get() + 1);
        let _open = Open(Rc::clone(&self.open));
        answer.await
    }

    /// Waits until no call has been open for a while. Calls that have arrived may wait to be read, and answers to be sent.
    async fn settle(&self) {
        let mut count = self.count.get();
        loop {
            tokio::time::sleep(SETTLING_TIME.as_duration()).await;
            let count_before = std::mem::replace(&mut count, self.count.get());
            if self.open.get() == 0 && count == count_before {
                return;
            }
        }
    }
}

/// Counts a call as open until it is dropped.
struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connections whose peers haven't authenticated, oldest first. They give way to new ones, so that a crowd without the key
/// doesn't keep peers out.
#[derive(Default)]
struct Unproved {
    connections: VecDeque<(AbortHandle, Rc<Cell<bool>>)>,
}

impl Unproved {
    fn push(&mut self, task: AbortHandle, authenticated: Rc<Cell<bool>>) {
        self.forget_others();
        self.connections.push_back((task, authenticated));
    }

    /// Removes those that have authenticated or ended.
    fn forget_others(&mut self) {
        let is_unproved = |(task, authenticated): &(AbortHandle, Rc<Cell<bool>>)| {
            !task.is_finished() && !authenticated.get()
        };
        self.connections.retain(is_unproved);
    }

    /// Closes the oldest connection; returns whether there is one.
    fn evict_oldest(&mut self) -> bool {
        self.forget_others();
        let oldest = self.connections.pop_front();
        oldest.is_some_and(|(task, _)| {
            task.abort();
            true
        })
    }
}

/// Serves one connection; closes it if the peer doesn't authenticate in time.
async fn connection(
    socket: TcpStream,
    key: Key,
    limit: Limit,
    receiver: Rc<dyn Receiver>,
    calls: Calls,
    authenticated: Rc<Cell<bool>>,
) {
    let door = Door {
        key,
        receiver,
        calls,
        authenticated: Rc::clone(&authenticated),
        nonces: Cell::new(None),
    };
    let client: door::Client = capnp_rpc::new_client(door);
    let _ = socket.set_nodelay(true);
    let (reader, writer) = TokioAsyncReadCompatExt::compat(socket).split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        rpc_twoparty_capnp::Side::Server,
        reader_options(&limit),
    );
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    let ended = tokio::select! {
        ended = &mut system => ended,
        () = tokio::time::sleep(limit.handshake.as_duration()) => {
            if !authenticated.get() {
                log::warn!(event = "peer_unproved"; "");
                return;
            }
            system.await
        }
    };
    if let Err(error) = ended {
        log::debug!(event = "peer_connection_ended", error = error.to_string().as_str(); "");
    }
}

/// Returns the library's options with the size limit of messages.
pub(crate) fn reader_options(limit: &Limit) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(limit.message_bytes / WORD_BYTES));
    options
}

/// Bootstrap capability; an unauthenticated connection has no other.
struct Door {
    key: Key,
    receiver: Rc<dyn Receiver>,
    calls: Calls,
    authenticated: Rc<Cell<bool>>,
    nonces: Cell<Option<Nonces>>,
}

/// Nonces of both sides.
#[derive(Clone, Copy)]
struct Nonces {
    caller: [u8; NONCE_BYTES],
    callee: [u8; NONCE_BYTES],
}

impl door::Server for Door {
    async fn greet(
        self: Rc<Self>,
        params: door::GreetParams,
        mut results: door::GreetResults,
    ) -> Result<(), capnp::Error> {
        let caller = params.get()?.get_nonce()?;
        let caller = <[u8; NONCE_BYTES]>::try_from(caller)
            .map_err(|_| capnp::Error::failed(String::from("the nonce has another length")))?;
        let callee = proof::nonce()?;
        let proof = self.key.prove(Side::Callee, &caller, &callee);
        self.nonces.set(Some(Nonces { caller, callee }));
        results.get().set_nonce(&callee);
        results.get().set_proof(&proof);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: door::EnterParams,
        mut results: door::EnterResults,
    ) -> Result<(), capnp::Error> {
        // A pair of nonces is valid for one attempt.
        let nonces = self.nonces.take();
        let proof = params.get()?.get_proof()?;
        let authenticated = nonces.is_some_and(|nonces| {
            self.key
                .check(Side::Caller, &nonces.caller, &nonces.callee, proof)
        });
        if !authenticated {
            return Err(capnp::Error::failed(String::from("not an entry")));
        }
        self.authenticated.set(true);
        let entry = AuthenticatedEntry {
            receiver: Rc::clone(&self.receiver),
            calls: self.calls.clone(),
        };
        results.get().set_entry(capnp_rpc::new_client(entry));
        Ok(())
    }
}

/// Capability of an authenticated peer.
struct AuthenticatedEntry {
    receiver: Rc<dyn Receiver>,
    calls: Calls,
}

impl entry::Server for AuthenticatedEntry {
    async fn spend(
        self: Rc<Self>,
        params: entry::SpendParams,
        mut results: entry::SpendResults,
    ) -> Result<(), capnp::Error> {
        let ticket = SmolStr::from(params.get()?.get_ticket()?.to_str()?);
        let answer = self.calls.answer(self.receiver.spend(ticket)).await;
        let answer = answer.ok_or_else(no_answer)?;
        results.get().set_answer(to_wire(answer));
        Ok(())
    }

    async fn inherit(
        self: Rc<Self>,
        params: entry::InheritParams,
        mut results: entry::InheritResults,
    ) -> Result<(), capnp::Error> {
        let estates = serde_json::from_slice(params.get()?.get_estates()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let incarnation = self.calls.answer(self.receiver.inherit(estates)).await;
        results.get().set_taken(incarnation.is_some());
        results
            .get()
            .set_by(incarnation.map_or(0, |incarnation| incarnation.0));
        Ok(())
    }

    async fn digest(
        self: Rc<Self>,
        params: entry::DigestParams,
        _: entry::DigestResults,
    ) -> Result<(), capnp::Error> {
        let digest = wire::digest::read(params.get()?.get_digest()?)?;
        self.receiver.digest(digest);
        Ok(())
    }

    async fn configure(
        self: Rc<Self>,
        params: entry::ConfigureParams,
        _: entry::ConfigureResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let message = params.get_message()?.to_vec();
        self.receiver.configure(params.get_from(), message);
        Ok(())
    }

    async fn charge(
        self: Rc<Self>,
        params: entry::ChargeParams,
        mut results: entry::ChargeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let answer = self
            .receiver
            .charge(params.get_account(), params.get_tokens());
        let answer = self.calls.answer(answer).await;
        let mut results = results.get();
        match answer.ok_or_else(no_answer)? {
            Charge::Granted { bucket } => {
                results.set_granted(true);
                results.set_bucket(bucket);
            }
            Charge::Exceeded { retry_after } => results.set_retry_ms(retry_after.as_millis()),
        }
        Ok(())
    }

    async fn refund(
        self: Rc<Self>,
        params: entry::RefundParams,
        _: entry::RefundResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.receiver
            .refund(params.get_bucket(), params.get_tokens());
        Ok(())
    }

    async fn connect(
        self: Rc<Self>,
        params: entry::ConnectParams,
        mut results: entry::ConnectResults,
    ) -> Result<(), capnp::Error> {
        let server = SmolStr::from(params.get()?.get_server()?.to_str()?);
        let connecting = self.receiver.connect(server);
        if let Some(connection) = self.calls.answer(connecting).await {
            let tunnel = tunnel::Server::new(connection);
            results.get().set_tunnel(capnp_rpc::new_client(tunnel));
        }
        Ok(())
    }
}

/// Creates the error of a call that can't be answered.
fn no_answer() -> capnp::Error {
    capnp::Error::failed(String::from("this entry is stopping"))
}

/// Converts a ledger's answer to its wire type.
fn to_wire(answer: request::ledger::Answer) -> Answer {
    match answer {
        request::ledger::Answer::Granted => Answer::Granted,
        request::ledger::Answer::Spent => Answer::Spent,
        request::ledger::Answer::Unknown => Answer::Unknown,
    }
}

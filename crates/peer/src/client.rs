//! Client side of the calls between entries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp;
use capnp_rpc::twoparty::VatNetwork;
use clock::Span;
use futures::AsyncReadExt;
use member::digest::Digest;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::peer_capnp;
use wire::peer_capnp::door;
use wire::peer_capnp::entry;

use crate::configs::limit::Limit;
use crate::proof;
use crate::proof::Key;
use crate::proof::Side;
use crate::receiver::Charge;
use crate::server::reader_options;
use crate::tunnel;

/// Connections to peers, opened on demand. Cheap to clone; not `Send`.
#[derive(Clone)]
pub struct Peers {
    key: Key,
    limit: Limit,
    connections: Rc<RefCell<HashMap<SmolStr, entry::Client>>>,
    /// Addresses to which a connection is being opened.
    connecting: Rc<RefCell<HashSet<SmolStr>>>,
    /// Notified when a connection was opened, or could not be.
    attempted: Rc<Notify>,
}

/// Marks an address while a connection to it is being opened, also if that is cancelled.
struct Opening<'a> {
    peers: &'a Peers,
    address: &'a SmolStr,
}

impl<'a> Opening<'a> {
    fn begin(peers: &'a Peers, address: &'a SmolStr) -> Opening<'a> {
        peers.connecting.borrow_mut().insert(address.clone());
        Opening { peers, address }
    }
}

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        self.peers.connecting.borrow_mut().remove(self.address);
        self.peers.attempted.notify_waiters();
    }
}

/// A call without an answer; the peer may still have carried it out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(pub String);

impl Peers {
    /// Creates a client without open connections.
    pub fn new(key: Key, limit: Limit) -> Peers {
        Peers {
            key,
            limit,
            connections: Rc::default(),
            connecting: Rc::default(),
            attempted: Rc::default(),
        }
    }

    /// Asks the peer at `address` to spend a signed ticket.
    pub async fn spend(&self, address: &SmolStr, ticket: &str) -> Result<Answer, Error> {
        let entry = self.entry(address).await?;
        let mut request = entry.spend_request();
        request.get().set_ticket(ticket);
        let response = self.await_answer(address, request.send().promise).await?;
        let answer = response
            .get()
            .and_then(|response| Ok(response.get_answer()?));
        Ok(match answer.map_err(to_error)? {
            peer_capnp::Answer::Granted => Answer::Granted,
            peer_capnp::Answer::Spent => Answer::Spent,
            peer_capnp::Answer::Unknown => Answer::Unknown,
        })
    }

    /// Hands ledgers over; returns the incarnation that accepted them, or `None` if the peer declined.
    pub async fn inherit(
        &self,
        address: &SmolStr,
        estates: &[Estate],
    ) -> Result<Option<Incarnation>, Error> {
        let entry = self.entry(address).await?;
        let bytes = serde_json::to_vec(estates).map_err(|error| Error(error.to_string()))?;
        let mut request = entry.inherit_request();
        request.get().set_estates(&bytes);
        let response = self.await_answer(address, request.send().promise).await?;
        let response = response.get().map_err(to_error)?;
        let heir = Incarnation(response.get_by());
        Ok(response.get_taken().then_some(heir))
    }

    /// Sends a digest.
    ///
    /// Fails while a connection is being opened: the next digest is newer. Otherwise each digest would open a
    /// connection of its own, and a peer that is slow to accept would get hundreds.
    pub async fn digest(&self, address: &SmolStr, digest: &Digest) -> Result<(), Error> {
        let entry = self.ready_entry(address).await?;
        let mut request = entry.digest_request();
        wire::digest::write(digest, request.get().init_digest());
        self.await_answer(address, request.send().promise).await?;
        Ok(())
    }

    /// Sends a message of the configuration protocol.
    pub async fn configure(
        &self,
        address: &SmolStr,
        from: Incarnation,
        message: &[u8],
    ) -> Result<(), Error> {
        let entry = self.entry(address).await?;
        let mut request = entry.configure_request();
        request.get().set_from(from.0);
        request.get().set_message(message);
        self.await_answer(address, request.send().promise).await?;
        Ok(())
    }

    /// Asks the peer at `address` to charge an account's fleet-wide quota.
    ///
    /// Fails while a connection is being opened; the caller then asks another entry.
    pub async fn charge(
        &self,
        address: &SmolStr,
        account: u64,
        tokens: u64,
    ) -> Result<Charge, Error> {
        let entry = self.ready_entry(address).await?;
        let mut request = entry.charge_request();
        request.get().set_account(account);
        request.get().set_tokens(tokens);
        let response = self.await_answer(address, request.send().promise).await?;
        let response = response.get().map_err(to_error)?;
        Ok(match response.get_granted() {
            true => Charge::Granted {
                bucket: response.get_bucket(),
            },
            false => Charge::Exceeded {
                retry_after: Span::from_millis(response.get_retry_ms()),
            },
        })
    }

    /// Returns tokens that a peer granted.
    pub async fn refund(&self, address: &SmolStr, bucket: u64, tokens: u64) -> Result<(), Error> {
        let entry = self.ready_entry(address).await?;
        let mut request = entry.refund_request();
        request.get().set_bucket(bucket);
        request.get().set_tokens(tokens);
        self.await_answer(address, request.send().promise).await?;
        Ok(())
    }

    /// Opens a connection from the peer at `address` to a backend server, named by its incarnation; `None` if
    /// the peer doesn't reach it.
    pub async fn connect_through(
        &self,
        address: &SmolStr,
        server: &str,
    ) -> Result<Option<tunnel::Stream>, Error> {
        while self.connecting.borrow().contains(address) {
            self.attempted.notified().await;
        }
        let entry = self.entry(address).await?;
        let mut request = entry.connect_request();
        request.get().set_server(server);
        let response = self.await_answer(address, request.send().promise).await?;
        let response = response.get().map_err(to_error)?;
        if !response.has_tunnel() {
            return Ok(None);
        }
        let tunnel = response.get_tunnel().map_err(to_error)?;
        Ok(Some(tunnel::Stream::new(tunnel)))
    }

    /// Returns the peer at `address`, or an error while a connection to it is being opened.
    async fn ready_entry(&self, address: &SmolStr) -> Result<entry::Client, Error> {
        if self.connecting.borrow().contains(address) {
            return Err(Error(String::from("a connection is being opened")));
        }
        self.entry(address).await
    }

    /// Waits for an answer; drops the connection on failure or timeout.
    async fn await_answer<T>(
        &self,
        address: &SmolStr,
        answer: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, Error> {
        let result = with_timeout(self.limit.call, answer).await;
        if result.is_err() {
            self.connections.borrow_mut().remove(address);
        }
        result
    }

    /// Returns the peer at `address`, over a mutually authenticated connection.
    async fn entry(&self, address: &SmolStr) -> Result<entry::Client, Error> {
        if let Some(entry) = self.connections.borrow().get(address) {
            return Ok(entry.clone());
        }
        let opening = Opening::begin(self, address);
        let entry = with_timeout(self.limit.handshake, self.connect(address)).await?;
        let mut connections = self.connections.borrow_mut();
        connections.insert(address.clone(), entry.clone());
        drop(connections);
        drop(opening);
        Ok(entry)
    }

    /// Opens a connection and performs the handshake.
    async fn connect(&self, address: &SmolStr) -> Result<entry::Client, capnp::Error> {
        let socket = TcpStream::connect(address.as_str()).await?;
        socket.set_nodelay(true)?;
        let (reader, writer) = TokioAsyncReadCompatExt::compat(socket).split();
        let network = VatNetwork::new(
            futures::io::BufReader::new(reader),
            futures::io::BufWriter::new(writer),
            rpc_twoparty_capnp::Side::Client,
            reader_options(&self.limit),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let door: door::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let (connections, closed) = (Rc::downgrade(&self.connections), address.clone());
        tokio::task::spawn_local(async move {
            let _ = system.await;
            if let Some(connections) = connections.upgrade() {
                connections.borrow_mut().remove(&closed);
            }
        });
        self.authenticate(&door).await
    }

    /// Verifies the callee's proof and sends the caller's.
    async fn authenticate(&self, door: &door::Client) -> Result<entry::Client, capnp::Error> {
        let ours = proof::nonce()?;
        let mut greet = door.greet_request();
        greet.get().set_nonce(&ours);
        let greeting = greet.send().promise.await?;
        let greeting = greeting.get()?;
        let theirs = greeting.get_nonce()?;
        let proof = greeting.get_proof()?;
        if !self.key.check(Side::Callee, &ours, theirs, proof) {
            return Err(capnp::Error::failed(String::from(
                "the callee isn't an entry",
            )));
        }
        let mut enter = door.enter_request();
        let proof = self.key.prove(Side::Caller, &ours, theirs);
        enter.get().set_proof(&proof);
        enter.send().promise.await?.get()?.get_entry()
    }
}

/// Awaits a future for at most `limit`.
async fn with_timeout<T>(
    limit: Span,
    future: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, Error> {
    match tokio::time::timeout(limit.as_duration(), future).await {
        Ok(result) => result.map_err(to_error),
        Err(_) => Err(Error(format!("no answer within {limit}"))),
    }
}

/// Converts a failure of the RPC library.
fn to_error(error: capnp::Error) -> Error {
    Error(error.to_string())
}

//! Connections to backend servers through another entry.

use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use clock::Span;
use member::digest::Digest;
use peer::client::Peers;
use peer::configs::limit::Limit;
use peer::proof::Key;
use peer::receiver::Charge;
use peer::receiver::Pending;
use peer::receiver::Receiver;
use peer::tunnel;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;

const KEY: &str = "a key that all entries share";
/// Far longer than anything here takes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Opens connections to servers that are named by their address, and counts the open ones.
#[derive(Default)]
struct Opener {
    open: Rc<Cell<usize>>,
    pauses: Rc<Cell<Option<Span>>>,
}

struct Open(Rc<Cell<usize>>, Rc<Cell<Option<Span>>>);

impl tunnel::Opener for Open {
    fn paused(&self, pause: Span) {
        self.1.set(Some(pause));
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Receiver for Opener {
    fn spend(&self, _ticket: SmolStr) -> Pending<Answer> {
        Box::pin(async { None })
    }

    fn inherit(&self, _estates: Vec<Estate>) -> Pending<Incarnation> {
        Box::pin(async { None })
    }

    fn digest(&self, _digest: Digest) {}

    fn configure(&self, _from: u64, _message: Vec<u8>) {}

    fn charge(&self, _account: u64, _tokens: u64) -> Pending<Charge> {
        Box::pin(async { None })
    }

    fn refund(&self, _bucket: u64, _tokens: u64) {}

    fn connect(&self, server: SmolStr) -> Pending<tunnel::Connection> {
        let (open, pauses) = (Rc::clone(&self.open), Rc::clone(&self.pauses));
        Box::pin(async move {
            let socket = TcpStream::connect(server.as_str()).await.ok()?;
            let linger = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            linger.expect("an option");
            open.set(open.get() + 1);
            let opener = Box::new(Open(open, pauses));
            Some(tunnel::Connection { socket, opener })
        })
    }
}

/// A server and an entry that reaches it.
struct Setup {
    server: TcpListener,
    open: Rc<Cell<usize>>,
    pauses: Rc<Cell<Option<Span>>>,
    entry: SmolStr,
    serving: JoinHandle<()>,
    peers: Peers,
}

impl Setup {
    async fn start() -> Setup {
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = socket.local_addr().expect("an address").to_smolstr();
        let opener = Opener::default();
        let open = Rc::clone(&opener.open);
        let pauses = Rc::clone(&opener.pauses);
        let (key, limit) = (Key::new(KEY), Limit::default());
        let serving = async move {
            let (_shutdown, never) = watch::channel(false);
            peer::server::serve(socket, key, limit, Rc::new(opener), never).await;
        };
        Setup {
            server,
            open,
            pauses,
            entry,
            serving: tokio::task::spawn_local(serving),
            peers: Peers::new(Key::new(KEY), Limit::default()),
        }
    }

    /// Opens a tunnel; returns both of its ends.
    async fn connect(&self) -> (tunnel::Stream, TcpStream) {
        let address = self.server.local_addr().expect("an address").to_smolstr();
        let opening = self.peers.connect_through(&self.entry, &address);
        let (stream, accepted) = tokio::join!(opening, self.server.accept());
        let stream = stream.expect("an answer").expect("a tunnel");
        (stream, accepted.expect("a connection").0)
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let limited = async {
        let timeout = tokio::time::timeout(TIMEOUT, test).await;
        timeout.expect("an end in time");
    };
    LocalSet::new().block_on(&runtime, limited);
}

/// Returns what ends the bytes from a tunnel: nothing at a proper end, else the error.
async fn end_of(server: &mut TcpStream) -> Option<ErrorKind> {
    let mut buffer = [0; 1_024];
    loop {
        match server.read(&mut buffer).await {
            Ok(0) => return None,
            Ok(_) => {}
            Err(error) => return Some(error.kind()),
        }
    }
}

#[test]
fn bytes_pass_in_both_directions_in_order() {
    run(async {
        let setup = Setup::start().await;
        let (mut stream, mut server) = setup.connect().await;
        let sent: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
        let echoing = async {
            let mut received = vec![0; sent.len()];
            server.read_exact(&mut received).await.expect("bytes");
            server.write_all(&received).await.expect("a connection");
            server
        };
        let mut received = vec![0; sent.len()];
        let asking = async {
            stream.write_all(&sent).await.expect("a tunnel");
            stream.read_exact(&mut received).await.expect("bytes");
        };
        let (_server, ()) = tokio::join!(echoing, asking);
        assert!(received == sent);
    });
}

/// Guards against taking an answer that ends with its connection for whole when the connection was reset.
#[test]
fn an_end_and_a_reset_are_told_apart() {
    run(async {
        let setup = Setup::start().await;
        let (mut stream, mut server) = setup.connect().await;
        server.write_all(b"whole").await.expect("a connection");
        drop(server);
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("an end");
        assert_eq!(text, "whole");

        let (mut stream, mut server) = setup.connect().await;
        server.write_all(b"half").await.expect("a connection");
        let mut part = [0; 4];
        stream.read_exact(&mut part).await.expect("bytes");
        let linger = SockRef::from(&server).set_linger(Some(Duration::ZERO));
        linger.expect("an option");
        drop(server);
        let error = stream.read_to_string(&mut text).await.expect_err("a reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    });
}

/// Guards against servers that work on for callers who have left.
#[test]
fn a_dropped_tunnel_resets_the_connection_while_a_read_waits() {
    run(async {
        let setup = Setup::start().await;
        let (mut stream, mut server) = setup.connect().await;
        stream.write_all(b"request").await.expect("a tunnel");
        let mut buffer = [0; 7];
        server.read_exact(&mut buffer).await.expect("bytes");
        drop(stream);
        assert_eq!(end_of(&mut server).await, Some(ErrorKind::ConnectionReset));
        assert_eq!(setup.open.get(), 0);
    });
}

/// Guards against answers that are cut off, yet look whole, when the entry between ends.
#[test]
fn a_tunnel_breaks_when_its_peer_ends() {
    run(async {
        let setup = Setup::start().await;
        let (mut stream, server) = setup.connect().await;
        setup.serving.abort();
        let mut text = String::new();
        let error = stream.read_to_string(&mut text).await.expect_err("a break");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        drop(server);
    });
}

/// Guards against connections that are left open at the peer when the entry that uses them ends.
#[test]
fn a_tunnel_is_closed_when_its_user_ends() {
    run(async {
        let setup = Setup::start().await;
        let users = LocalSet::new();
        let (stream, mut server) = users.run_until(setup.connect()).await;
        drop(users);
        drop(setup.peers);
        std::mem::forget(stream);
        assert!(end_of(&mut server).await.is_some());
    });
}

/// Guards against requests of the entry that holds the connection while its server pauses.
#[test]
fn the_peer_learns_of_a_pause() {
    run(async {
        let setup = Setup::start().await;
        let (stream, _server) = setup.connect().await;
        let pause = Span::from_millis(1_500);
        stream.handle().report_pause(pause);
        while setup.pauses.get() != Some(pause) {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn a_peer_that_reaches_no_server_opens_no_tunnel() {
    run(async {
        let setup = Setup::start().await;
        let address = setup.server.local_addr().expect("an address").to_smolstr();
        drop(setup.server);
        let opened = setup.peers.connect_through(&setup.entry, &address).await;
        assert!(opened.expect("an answer").is_none());
    });
}

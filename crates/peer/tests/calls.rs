//! Two entries on loopback: authentication, all calls, timeouts and reconnects.

use std::cell::RefCell;
use std::rc::Rc;

use clock::Span;
use member::digest::Beat;
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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::LocalSet;

const KEY: &str = "a key that all entries share";

/// Records what it receives; answers ticket requests unless `silent`.
#[derive(Default)]
struct RecordingReceiver {
    digests: RefCell<Vec<Digest>>,
    messages: RefCell<Vec<(u64, Vec<u8>)>>,
    refunds: RefCell<Vec<(u64, u64)>>,
    silent: bool,
}

struct Ignored;

impl tunnel::Opener for Ignored {
    fn paused(&self, _pause: Span) {}
}

impl Receiver for RecordingReceiver {
    fn spend(&self, ticket: SmolStr) -> Pending<Answer> {
        let silent = self.silent;
        Box::pin(async move {
            if silent {
                std::future::pending::<()>().await;
            }
            match ticket.as_str() {
                "new" => Some(Answer::Granted),
                "used" => Some(Answer::Spent),
                _ => None,
            }
        })
    }

    fn inherit(&self, estates: Vec<Estate>) -> Pending<Incarnation> {
        let accepted = estates.len() == 1;
        Box::pin(async move { accepted.then_some(Incarnation(9)) })
    }

    fn digest(&self, digest: Digest) {
        self.digests.borrow_mut().push(digest);
    }

    fn configure(&self, from: u64, message: Vec<u8>) {
        self.messages.borrow_mut().push((from, message));
    }

    fn charge(&self, account: u64, tokens: u64) -> Pending<Charge> {
        let answer = match tokens {
            0..=100 => Charge::Granted { bucket: !account },
            _ => Charge::Exceeded {
                retry_after: Span::from_millis(tokens),
            },
        };
        Box::pin(async move { Some(answer) })
    }

    fn refund(&self, bucket: u64, tokens: u64) {
        self.refunds.borrow_mut().push((bucket, tokens));
    }

    fn connect(&self, server: SmolStr) -> Pending<tunnel::Connection> {
        Box::pin(async move {
            let socket = TcpStream::connect(server.as_str()).await.ok()?;
            let opener = Box::new(Ignored);
            Some(tunnel::Connection { socket, opener })
        })
    }
}

/// Starts an entry and returns its address.
async fn serve(receiver: Rc<RecordingReceiver>, limit: Limit) -> SmolStr {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("an address").to_smolstr();
    let serving = async move {
        let (_shutdown, never) = watch::channel(false);
        peer::server::serve(socket, Key::new(KEY), limit, receiver, never).await;
    };
    tokio::task::spawn_local(serving);
    address
}

fn peers(key: &str, limit: Limit) -> Peers {
    Peers::new(Key::new(key), limit)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn every_call_reaches_the_peer() {
    run(async {
        let receiver = Rc::new(RecordingReceiver::default());
        let address = serve(Rc::clone(&receiver), Limit::default()).await;
        let peers = peers(KEY, Limit::default());
        assert_eq!(peers.spend(&address, "new").await, Ok(Answer::Granted));
        assert_eq!(peers.spend(&address, "used").await, Ok(Answer::Spent));
        let estate = Estate {
            minter: Incarnation(1),
            oldest: 2,
            next: 7,
            spent: vec![3, 5],
        };
        let taken = peers.inherit(&address, std::slice::from_ref(&estate)).await;
        assert_eq!(taken, Ok(Some(Incarnation(9))));
        assert_eq!(peers.inherit(&address, &[]).await, Ok(None));
        let digest = Digest {
            own: Beat {
                count: 4,
                ..Beat::default()
            },
            ..Digest::default()
        };
        assert_eq!(peers.digest(&address, &digest).await, Ok(()));
        let sent = peers.configure(&address, Incarnation(6), b"{}").await;
        assert_eq!(sent, Ok(()));
        let granted = peers.charge(&address, 7, 100).await;
        assert_eq!(granted, Ok(Charge::Granted { bucket: !7 }));
        let retry_after = Span::from_millis(101);
        let short = peers.charge(&address, 7, 101).await;
        assert_eq!(short, Ok(Charge::Exceeded { retry_after }));
        assert_eq!(peers.refund(&address, !7, 100).await, Ok(()));
        assert_eq!(*receiver.refunds.borrow(), [(!7, 100)]);
        assert_eq!(*receiver.digests.borrow(), [digest]);
        assert_eq!(*receiver.messages.borrow(), [(6, b"{}".to_vec())]);
    });
}

/// Without authentication, anyone who reaches the peer port could spend callers' tickets or inject
/// false ledgers.
#[test]
fn a_caller_without_the_key_is_rejected() {
    run(async {
        let receiver = Rc::new(RecordingReceiver::default());
        let address = serve(Rc::clone(&receiver), Limit::default()).await;
        let stranger = peers("another key of the same length", Limit::default());
        assert!(stranger.spend(&address, "new").await.is_err());
        assert!(stranger.digest(&address, &Digest::default()).await.is_err());
        assert!(receiver.digests.borrow().is_empty());
    });
}

/// If a timeout counted as "not spent", a ticket could be spent twice.
#[test]
fn a_missing_answer_is_an_error() {
    run(async {
        let limit = Limit {
            call: Span::from_millis(50),
            ..Limit::default()
        };
        let silent = Rc::new(RecordingReceiver {
            silent: true,
            ..RecordingReceiver::default()
        });
        let address = serve(silent, Limit::default()).await;
        assert!(peers(KEY, limit).spend(&address, "new").await.is_err());
        let nobody = SmolStr::new_static("127.0.0.1:1");
        assert!(peers(KEY, limit).spend(&nobody, "new").await.is_err());
        let stopping = serve(Rc::default(), Limit::default()).await;
        assert!(
            peers(KEY, limit)
                .spend(&stopping, "unreadable")
                .await
                .is_err()
        );
    });
}

/// Guards against reusing a dead connection after a peer was replaced at the same address.
#[test]
fn a_broken_connection_is_reopened() {
    run(async {
        // Both servers share one listening socket, so that no other process can take the port in between.
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        socket.set_nonblocking(true).expect("a socket");
        let address = socket.local_addr().expect("an address").to_smolstr();
        let same = socket.try_clone().expect("a second handle");
        let limit = Limit {
            handshake: Span::from_millis(200),
            ..Limit::default()
        };
        let peers = peers(KEY, limit);
        let first = tokio::task::spawn_local(serve_on(socket));
        assert_eq!(peers.spend(&address, "new").await, Ok(Answer::Granted));
        first.abort();
        let _ = first.await;
        let _lost = peers.spend(&address, "new").await;
        tokio::task::spawn_local(serve_on(same));
        assert_eq!(peers.spend(&address, "used").await, Ok(Answer::Spent));
    });
}

/// Serves on an already bound socket.
async fn serve_on(socket: std::net::TcpListener) {
    let socket = TcpListener::from_std(socket).expect("a socket of the runtime");
    let receiver = Rc::new(RecordingReceiver::default());
    let (_shutdown, never) = watch::channel(false);
    peer::server::serve(socket, Key::new(KEY), Limit::default(), receiver, never).await;
}

/// An entry that aggregates counts of 300 entries has a connection from each. A limit of 256 closed the rest,
/// so that their counts were missing from every sum.
#[test]
fn an_entry_accepts_hundreds_of_connections() {
    run(async {
        let receiver = Rc::new(RecordingReceiver::default());
        let address = serve(Rc::clone(&receiver), Limit::default()).await;
        let mut others = Vec::new();
        for _ in 0..300 {
            let other = TcpStream::connect(address.as_str()).await;
            others.push(other.expect("a connection"));
        }
        let last = peers(KEY, Limit::default());
        assert_eq!(last.digest(&address, &Digest::default()).await, Ok(()));
    });
}

/// Guards against connections without the key that keep other entries out, or push them out.
#[test]
fn connections_that_prove_nothing_give_way_to_peers() {
    run(async {
        let limit = Limit {
            connections: 4,
            handshake: Span::from_seconds(600),
            ..Limit::default()
        };
        let address = serve(Rc::new(RecordingReceiver::default()), limit).await;
        let peers = peers(KEY, Limit::default());
        let mut silent = Vec::new();
        for _ in 0..3 {
            for _ in 0..8 {
                silent.push(
                    TcpStream::connect(address.as_str())
                        .await
                        .expect("a socket"),
                );
            }
            assert_eq!(peers.spend(&address, "new").await, Ok(Answer::Granted));
        }
    });
}

//! The end of an entry while other entries call it.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use member::digest::Digest;
use peer::client::Error;
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
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::task::LocalSet;

const KEY: &str = "a key that all entries share";
/// Time that a charge takes.
const CHARGE_TIME: Duration = Duration::from_millis(100);
/// Time within a stall at which charges are sent, before its end.
const LEAD: Duration = Duration::from_millis(25);
const CALLERS: u64 = 6;
const GRANTED: Charge = Charge::Granted { bucket: 7 };

/// Grants charges after some time, and counts them.
#[derive(Default)]
struct SlowReceiver {
    delay: Duration,
    charges: Rc<Cell<u64>>,
}

impl Receiver for SlowReceiver {
    fn spend(&self, _ticket: SmolStr) -> Pending<Answer> {
        Box::pin(async { None })
    }

    fn inherit(&self, _estates: Vec<Estate>) -> Pending<Incarnation> {
        Box::pin(async { None })
    }

    fn digest(&self, _digest: Digest) {}

    fn configure(&self, _from: u64, _message: Vec<u8>) {}

    fn charge(&self, _account: u64, _tokens: u64) -> Pending<Charge> {
        self.charges.set(self.charges.get() + 1);
        let delay = self.delay;
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            Some(GRANTED)
        })
    }

    fn refund(&self, _bucket: u64, _tokens: u64) {}

    fn connect(&self, _server: SmolStr) -> Pending<tunnel::Connection> {
        Box::pin(async { None })
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// A serving entry.
struct Entry {
    address: SmolStr,
    charges: Rc<Cell<u64>>,
    shutdown: watch::Sender<bool>,
    serving: JoinSet<()>,
}

impl Entry {
    async fn start(delay: Duration) -> Entry {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("an address").to_smolstr();
        let (shutdown, end) = watch::channel(false);
        let receiver = SlowReceiver {
            delay,
            charges: Rc::default(),
        };
        let charges = Rc::clone(&receiver.charges);
        let (key, limit) = (Key::new(KEY), Limit::default());
        let mut serving = JoinSet::new();
        serving.spawn_local(peer::server::serve(
            socket,
            key,
            limit,
            Rc::new(receiver),
            end,
        ));
        Entry {
            address,
            charges,
            shutdown,
            serving,
        }
    }

    /// Asks the entry to end, and waits until it has.
    async fn end(mut self) {
        self.shutdown.send_replace(true);
        self.serving.join_next().await;
    }
}

fn peers() -> Peers {
    Peers::new(Key::new(KEY), Limit::default())
}

/// Sends a charge `delay` after the signal that the connection is open; returns when, and the answer.
fn charge_after(
    address: SmolStr,
    delay: Duration,
    connected: Sender<()>,
) -> JoinHandle<(Instant, Result<Charge, Error>)> {
    thread::spawn(move || {
        run(async {
            let peers = peers();
            let digest = peers.digest(&address, &Digest::default()).await;
            assert_eq!(digest, Ok(()));
            connected.send(()).expect("a test");
            tokio::time::sleep(delay).await;
            (Instant::now(), peers.charge(&address, 1, 1).await)
        })
    })
}

/// Guards against charges that are made and whose answers are lost, so that others make them again.
#[test]
fn a_charge_under_way_is_answered_before_an_entry_ends() {
    run(async {
        let entry = Entry::start(CHARGE_TIME).await;
        let (address, charges) = (entry.address.clone(), Rc::clone(&entry.charges));
        let peers = peers();
        let ending = async {
            while charges.get() == 0 {
                tokio::task::yield_now().await;
            }
            entry.end().await;
        };
        let (charged, ()) = tokio::join!(peers.charge(&address, 1, 1), ending);
        assert_eq!(charged, Ok(GRANTED));
        let again = peers.charge(&address, 1, 1).await;
        assert!(again.is_err(), "{again:?}");
    });
}

/// Guards against charges that have arrived but aren't read since the entry stood still.
#[test]
fn charges_that_arrive_as_an_entry_ends_are_answered() {
    for stall in [60, 400, 1_500].map(Duration::from_millis) {
        run(async {
            let entry = Entry::start(Duration::ZERO).await;
            let (connected, opened) = channel();
            let callers = Vec::from_iter(
                (0..CALLERS)
                    .map(|_| charge_after(entry.address.clone(), stall - LEAD, connected.clone())),
            );
            let mut open = 0;
            while open < CALLERS {
                open += opened.try_iter().count() as u64;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            thread::sleep(stall);
            let ran_at = Instant::now();
            entry.end().await;
            for caller in callers {
                let (sent_at, charged) = caller.join().expect("a caller");
                // A caller that was late may cross the end.
                assert!(
                    charged == Ok(GRANTED) || sent_at > ran_at,
                    "stall of {stall:?}: {charged:?}"
                );
            }
        });
    }
}

/// Guards against an end that always takes as long as it may.
#[test]
fn an_entry_without_calls_ends_at_once() {
    run(async {
        let entry = Entry::start(Duration::ZERO).await;
        let ended = tokio::time::timeout(CHARGE_TIME, entry.end()).await;
        assert!(ended.is_ok());
    });
}

//! Ports that end right after the process has stood still, over sockets.

#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use clock::Clock;
use clock::Span;
use daemon::admin;
use daemon::admin::Admin;
use daemon::ending;
use daemon::ending::Ports;
use daemon::operators;
use intake::accept;
use intake::configs::limits::Limits;
use intake::configs::limits::Port;
use intake::intake::Intake;
use ops::server::Api;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

const PROBE: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n";
/// The start of an HTTP/2 connection, with an empty SETTINGS frame, which is answered by one.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
const CALLERS: usize = 8;
/// Times for which the process stands still.
const STALLS: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(400),
    Duration::from_millis(1_500),
];
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const LIMITS: Limits = Limits {
    request_bytes: 1 << 20,
    small_request_bytes: 0,
    answer_bytes: 1 << 20,
    body_time: Span::from_seconds(60),
    body_rate: 1,
};
const PORT: Port = Port {
    connections: 100,
    head_bytes: 1 << 20,
};

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = accept::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Sends bytes on a new connection; returns whether anything comes back.
fn send(address: SocketAddr, bytes: &'static [u8]) -> JoinHandle<bool> {
    thread::spawn(move || {
        let mut socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let _ = socket.write_all(bytes);
        socket.read(&mut [0; 1]).is_ok_and(|count| count > 0)
    })
}

/// Lets the process stand still while callers send these bytes to a port that `start` starts, and ends it right after.
fn play(bytes: &'static [u8], start: impl Fn(&mut Ports, TcpListener, &Rc<Intake>)) {
    for stall in STALLS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, async {
            let intake = Rc::new(Intake::new(Clock::start(), LIMITS, PORT));
            let (listener, address) = listen().await;
            let mut ports = Ports::new();
            start(&mut ports, listener, &intake);
            tokio::task::yield_now().await;
            let callers = Vec::from_iter((0..CALLERS).map(|_| send(address, bytes)));
            thread::sleep(stall);
            ending::end(Ports::new(), ports, &intake).await;
            let answered = callers.into_iter().map(|caller| caller.join().unwrap());
            assert_eq!(answered.filter(|answered| *answered).count(), CALLERS);
        });
    }
}

/// Guards against probes that get no answer although the entry's port took their connection.
#[test]
fn probes_that_arrive_as_an_entry_ends_are_answered() {
    play(PROBE, |ports, listener, intake| {
        let admin = Admin {
            ready: Rc::new(Cell::new(false)),
            registry: Registry::new(),
        };
        let intake = Rc::clone(intake);
        ports.start(|end| admin::serve(listener, admin, intake, PORT, end));
    });
}

/// Guards against operators whose calls get no answer although the entry's port took their connection.
#[test]
fn operators_that_connect_as_an_entry_ends_are_answered() {
    play(PREFACE, |ports, listener, intake| {
        let (calls, _) = mpsc::channel(1);
        let api = Api::new("key of the operators", calls);
        let intake = Rc::clone(intake);
        ports.start(|end| operators::serve(listener, api, intake, PORT, end));
    });
}

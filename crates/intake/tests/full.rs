//! A full port whose connections give way to new ones, over sockets.

#![allow(clippy::unwrap_used)]

mod support;

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use intake::accept::Accepted;
use intake::request::Session;
use tokio::sync::watch;

use support::LONG_TIMES;
use support::run;
use support::start;

/// Connections of the port.
const CONNECTIONS: usize = 40;
/// Callers, each with one connection at a time.
const CALLERS: u64 = 60;
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// Time for which callers send requests.
const DURATION: Duration = Duration::from_secs(3);

/// What became of requests whose heads were read.
#[derive(Clone, Default)]
struct Counts {
    begun: Rc<Cell<usize>>,
    received: Rc<Cell<usize>>,
    answered: Rc<Cell<usize>>,
}

fn count(counter: &Cell<usize>) {
    counter.set(counter.get() + 1);
}

async fn serve(accepted: Accepted, shutdown: watch::Receiver<bool>, counts: Counts) {
    let service = move |caller: Session| {
        service_fn(move |request: Request<Incoming>| {
            let mut received = caller.begin(request.version());
            let counts = counts.clone();
            async move {
                count(&counts.begun);
                let (head, body) = request.into_parts();
                let _ = received.receive(&head, body, MAX_BODY_BYTES).await;
                received.begin_running();
                count(&counts.received);
                tokio::time::sleep(ANSWER_TIME).await;
                count(&counts.answered);
                let answer = Response::new(Full::new(Bytes::from("fine")));
                Ok(received.answer(answer))
            }
        })
    };
    support::serve(accepted, shutdown, LONG_TIMES, service).await;
}

/// Sends requests, on a new connection whenever one has ended.
fn call(address: SocketAddr, pause: Duration, body_bytes: usize, end: Instant) {
    let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {body_bytes}\r\n\r\n");
    let mut request = head.into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    let mut buffer = [0; 4096];
    while Instant::now() < end {
        let Ok(mut socket) = TcpStream::connect(address) else {
            continue;
        };
        while Instant::now() < end {
            thread::sleep(pause);
            let sent = socket.write_all(&request);
            if sent.is_err() || !socket.read(&mut buffer).is_ok_and(|count| count > 0) {
                break;
            }
        }
    }
}

/// Lets more callers than the port has room for send requests; returns how many requests ended without an answer while
/// they were received, and while they ran.
fn play(body_bytes: usize) -> (usize, usize) {
    run(async {
        let counts = Counts::default();
        let counted = counts.clone();
        let served = start(CONNECTIONS, move |accepted, shutdown| {
            serve(accepted, shutdown, counted.clone())
        });
        let address = served.address;
        let end = Instant::now() + DURATION;
        let callers = (0..CALLERS).map(|number| {
            let pause = Duration::from_millis(5 + number % 17);
            thread::spawn(move || call(address, pause, body_bytes, end))
        });
        for caller in callers.collect::<Vec<_>>() {
            while !caller.is_finished() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            caller.join().unwrap();
        }
        let received = counts.received.get();
        let unreceived = counts.begun.get() - received;
        (unreceived, received - counts.answered.get())
    })
}

/// Guards against closing a connection for a new one while a request runs on it.
#[test]
fn a_request_that_runs_does_not_give_way_to_new_connections() {
    assert_eq!(play(10), (0, 0), "dropped while received, and running");
}

/// Guards against reading a request of a connection that has to give way, and closing it within its body.
#[test]
fn a_request_that_is_read_does_not_give_way_to_new_connections() {
    assert_eq!(
        play(64 << 10),
        (0, 0),
        "dropped while received, and running"
    );
}

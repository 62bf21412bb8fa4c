//! Connections that are to be closed after the process has stood still, over sockets.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Span;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use intake::accept::Accepted;
use intake::configs::limits::Times;
use intake::request::Session;
use tokio::sync::watch;

use support::LONG_TIMES;
use support::REQUEST;
use support::connect;
use support::run;
use support::start;

/// Time for which the process stands still.
const STALL: Duration = Duration::from_millis(300);
/// Time limit of connections without a request.
const IDLE: Span = Span::from_millis(400);
/// Time limit of answers that aren't read.
const UNREAD: Span = Span::from_millis(400);
/// More than the buffers of both sockets hold.
const LARGE_ANSWER_BYTES: usize = 16 << 20;

async fn serve(accepted: Accepted, shutdown: watch::Receiver<bool>, answer_bytes: usize) {
    let service = |caller: Session| {
        service_fn(move |request: Request<Incoming>| {
            let body = Full::new(Bytes::from(vec![b'x'; answer_bytes]));
            let answer = caller.begin(request.version()).answer(Response::new(body));
            async move { Ok(answer) }
        })
    };
    let times = Times {
        idle: IDLE,
        unread: UNREAD,
        ..LONG_TIMES
    };
    support::serve(accepted, shutdown, times, service).await;
}

/// Runs a test of a port with room for this many connections.
fn play<F: Future<Output = ()>>(
    connections: usize,
    answer_bytes: usize,
    test: impl FnOnce(SocketAddr) -> F,
) {
    run(async {
        let served = start(connections, move |accepted, shutdown| {
            serve(accepted, shutdown, answer_bytes)
        });
        test(served.address).await;
    });
}

/// Sends a request and reads the head of its answer; returns whether there is one.
fn exchange(socket: &mut TcpStream) -> bool {
    let mut buffer = [0; 4096];
    socket.write_all(REQUEST).is_ok() && socket.read(&mut buffer).is_ok_and(|count| count > 0)
}

/// Sends a request at once and another one on the same connection at `again`; returns whether that one is answered.
fn send_twice(address: SocketAddr, again: Instant) -> JoinHandle<bool> {
    thread::spawn(move || {
        let mut socket = connect(address);
        assert!(exchange(&mut socket));
        thread::sleep(again.saturating_duration_since(Instant::now()));
        exchange(&mut socket)
    })
}

async fn join<T>(thread: JoinHandle<T>) -> T {
    while !thread.is_finished() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    thread.join().unwrap()
}

/// Guards against closing a connection as idle whose request arrived in time, while the process stood still.
#[test]
fn a_request_that_arrives_during_a_pause_keeps_its_connection_from_the_idle_limit() {
    play(10, 10, |address| async move {
        let started = Instant::now();
        let stall_at = started + IDLE.as_duration() - STALL / 2;
        let caller = send_twice(address, stall_at + STALL / 4);
        tokio::time::sleep_until(stall_at.into()).await;
        thread::sleep(STALL);
        assert!(join(caller).await, "the request was lost");
    });
}

/// Guards against closing a connection for a new one although a request has arrived on it.
#[test]
fn a_connection_does_not_give_way_with_a_request_that_arrived_during_a_pause() {
    play(2, 10, |address| async move {
        let send_at = Instant::now() + Duration::from_millis(200);
        let callers = [send_twice(address, send_at), send_twice(address, send_at)];
        let newcomer = thread::spawn(move || {
            thread::sleep((send_at + STALL / 4).saturating_duration_since(Instant::now()));
            connect(address)
        });
        tokio::time::sleep_until((send_at - STALL / 4).into()).await;
        thread::sleep(STALL);
        for caller in callers {
            assert!(join(caller).await, "the request was lost");
        }
        join(newcomer).await;
    });
}

/// Guards against cutting an answer as unread that its caller has read while the process stood still.
#[test]
fn an_answer_that_is_read_during_a_pause_is_not_cut_as_unread() {
    play(10, LARGE_ANSWER_BYTES, |address| async move {
        let started = Instant::now();
        let stall_at = started + UNREAD.as_duration() - STALL / 2;
        let caller = thread::spawn(move || {
            let mut socket = connect(address);
            socket.write_all(REQUEST).unwrap();
            thread::sleep((stall_at + STALL / 4).saturating_duration_since(Instant::now()));
            let mut received = 0;
            let mut buffer = vec![0; 1 << 20];
            while received < LARGE_ANSWER_BYTES {
                match socket.read(&mut buffer) {
                    Ok(count) if count > 0 => received += count,
                    _ => break,
                }
            }
            received
        });
        tokio::time::sleep_until(stall_at.into()).await;
        thread::sleep(STALL);
        assert!(join(caller).await >= LARGE_ANSWER_BYTES);
    });
}

/// How a request is read and answered.
#[derive(Clone, Copy)]
struct Kind {
    /// Length of its body.
    body_bytes: usize,
    /// Time that its answer takes.
    time: Duration,
}

/// Serves a connection whose requests are received as a whole before they run.
async fn receive(accepted: Accepted, shutdown: watch::Receiver<bool>, kind: Kind) {
    let service = |caller: Session| {
        service_fn(move |request: Request<Incoming>| {
            let mut received = caller.begin(request.version());
            async move {
                let (head, body) = request.into_parts();
                let body = received.receive(&head, body, LARGE_ANSWER_BYTES).await;
                received.begin_running();
                tokio::time::sleep(kind.time).await;
                let length = body.map_or(0, |body| body.len());
                let answer = Full::new(Bytes::from(length.to_string()));
                Ok(received.answer(Response::new(answer)))
            }
        })
    };
    support::serve(accepted, shutdown, LONG_TIMES, service).await;
}

/// Lets a port with room for two connections stand still. A new connection arrives `newcomer` after the pause began, and
/// requests on both others `requests` after it. Returns how many of these got no answer.
fn count_lost(kind: Kind, newcomer: Duration, requests: Duration) -> usize {
    run(async {
        let served = start(2, move |accepted, shutdown| {
            receive(accepted, shutdown, kind)
        });
        let address = served.address;
        let stall_at = Instant::now() + Duration::from_millis(400);
        let until = |at: Instant| thread::sleep(at.saturating_duration_since(Instant::now()));
        let callers = [(); 2].map(|()| {
            thread::spawn(move || {
                let mut socket = connect(address);
                assert!(exchange(&mut socket));
                until(stall_at + requests);
                let head = format!(
                    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
                    kind.body_bytes
                );
                let mut request = head.into_bytes();
                request.resize(request.len() + kind.body_bytes, b'x');
                let mut buffer = [0; 4096];
                socket.write_all(&request).is_ok()
                    && socket.read(&mut buffer).is_ok_and(|count| count > 0)
            })
        });
        let newcomer = thread::spawn(move || {
            until(stall_at + newcomer);
            connect(address)
        });
        tokio::time::sleep_until(stall_at.into()).await;
        thread::sleep(STALL);
        let mut lost = 0;
        for caller in callers {
            lost += usize::from(!join(caller).await);
        }
        join(newcomer).await;
        lost
    })
}

const EARLY: Duration = Duration::from_millis(80);
const LATE: Duration = Duration::from_millis(160);

/// Guards against closing a connection for a new one after its request was read, since it was chosen before.
#[test]
fn a_connection_that_was_to_give_way_does_not_after_its_request_was_read() {
    let kind = Kind {
        body_bytes: 10,
        time: Duration::from_millis(100),
    };
    assert_eq!(count_lost(kind, EARLY, LATE), 0, "requests lost");
}

/// Guards against closing a connection for a new one while a request that has arrived as a whole is being read.
#[test]
fn a_connection_does_not_give_way_with_a_request_whose_body_has_arrived() {
    let kind = Kind {
        body_bytes: 64 << 10,
        time: Duration::ZERO,
    };
    assert_eq!(count_lost(kind, EARLY, LATE), 0, "requests lost");
}

/// The same with the new connection behind the requests.
#[test]
fn a_connection_does_not_give_way_to_one_behind_its_request() {
    let kind = Kind {
        body_bytes: 64 << 10,
        time: Duration::from_millis(100),
    };
    assert_eq!(count_lost(kind, LATE, EARLY), 0, "requests lost");
}

/// Guards against closing a connection within a head that began to arrive with the request before.
#[test]
fn a_port_that_closes_waits_for_a_head_that_began_behind_another_request() {
    run(async {
        let kind = Kind {
            body_bytes: 0,
            time: Duration::ZERO,
        };
        let served = start(2, move |accepted, shutdown| {
            receive(accepted, shutdown, kind)
        });
        let address = served.address;
        let shutdown_at = Instant::now() + Duration::from_millis(200);
        let caller = thread::spawn(move || {
            let mut socket = connect(address);
            let (first, rest) = REQUEST.split_at(10);
            let mut buffer = [0; 4096];
            socket.write_all(&[REQUEST, first].concat()).unwrap();
            assert!(socket.read(&mut buffer).unwrap() > 0);
            let rest_at = shutdown_at + Duration::from_millis(200);
            thread::sleep(rest_at.saturating_duration_since(Instant::now()));
            socket.write_all(rest).is_ok() && socket.read(&mut buffer).is_ok_and(|count| count > 0)
        });
        tokio::time::sleep_until(shutdown_at.into()).await;
        served.shutdown.send(true).unwrap();
        assert!(join(caller).await, "the request was lost");
    });
}

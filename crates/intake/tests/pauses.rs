//! Connections that are to be closed after the process has stood still, over sockets.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use clock::Span;
use http::Response;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use intake::accept;
use intake::accept::Accepted;
use intake::configs::limits::Limits;
use intake::configs::limits::Port;
use intake::configs::limits::Times;
use intake::intake::Intake;
use tokio::sync::watch;
use tokio::task::LocalSet;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the process stands still.
const STALL: Duration = Duration::from_millis(300);
/// Time limit of connections without a request.
const IDLE: Span = Span::from_millis(400);
/// Time limit of answers that aren't read.
const UNREAD: Span = Span::from_millis(400);
/// More than the buffers of both sockets hold.
const LARGE_ANSWER_BYTES: usize = 16 << 20;

async fn serve(accepted: Accepted, shutdown: watch::Receiver<bool>, answer_bytes: usize) {
    let Accepted { socket, session } = accepted;
    let caller = session.clone();
    let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
        let body = Full::new(Bytes::from(vec![b'x'; answer_bytes]));
        let answer = caller.begin(request.version()).answer(Response::new(body));
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let times = Times {
        head: Span::from_seconds(5),
        idle: IDLE,
        unread: UNREAD,
    };
    let connection = pin!(connection);
    session
        .serve(connection, times, shutdown, |connection| {
            connection.graceful_shutdown();
        })
        .await;
}

/// Runs a test of a port with room for this many connections.
fn run<F: Future<Output = ()>>(
    connections: usize,
    answer_bytes: usize,
    test: impl FnOnce(SocketAddr) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let limits = Limits {
            request_bytes: 1 << 20,
            small_request_bytes: 0,
            answer_bytes: 1 << 20,
            body_time: Span::from_seconds(600),
            body_rate: 1,
        };
        let port = Port {
            connections,
            head_bytes: 1 << 20,
        };
        let intake = Rc::new(Intake::new(Clock::start(), limits, port));
        let listener = accept::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let port = Rc::clone(&intake.callers);
        let (_shutdown, never) = watch::channel(false);
        let serving = accept::run(listener, intake, port, never, move |accepted, shutdown| {
            serve(accepted, shutdown, answer_bytes)
        });
        tokio::task::spawn_local(serving);
        test(address).await;
    });
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    socket
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
    run(10, 10, |address| async move {
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
    run(2, 10, |address| async move {
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
    run(10, LARGE_ANSWER_BYTES, |address| async move {
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
    let Accepted { socket, session } = accepted;
    let caller = session.clone();
    let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
        let mut received = caller.begin(request.version());
        async move {
            let (head, body) = request.into_parts();
            let body = received.receive(&head, body, LARGE_ANSWER_BYTES).await;
            received.begin_running();
            tokio::time::sleep(kind.time).await;
            let length = body.map_or(0, |body| body.len());
            let answer = Full::new(Bytes::from(length.to_string()));
            Ok::<_, Infallible>(received.answer(Response::new(answer)))
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let times = Times {
        head: Span::from_seconds(5),
        idle: Span::from_seconds(60),
        unread: Span::from_seconds(60),
    };
    let connection = pin!(connection);
    session
        .serve(connection, times, shutdown, |connection| {
            connection.graceful_shutdown();
        })
        .await;
}

/// Lets a port with room for two connections stand still. A new connection arrives `newcomer` after the pause began, and
/// requests on both others `requests` after it. Returns how many of these got no answer.
fn count_lost(kind: Kind, newcomer: Duration, requests: Duration) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let limits = Limits {
            request_bytes: 8 << 20,
            small_request_bytes: 0,
            answer_bytes: 1 << 20,
            body_time: Span::from_seconds(600),
            body_rate: 1,
        };
        let port = Port {
            connections: 2,
            head_bytes: 1 << 20,
        };
        let intake = Rc::new(Intake::new(Clock::start(), limits, port));
        let listener = accept::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let port = Rc::clone(&intake.callers);
        let (_shutdown, never) = watch::channel(false);
        let serving = accept::run(listener, intake, port, never, move |accepted, shutdown| {
            receive(accepted, shutdown, kind)
        });
        tokio::task::spawn_local(serving);
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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let limits = Limits {
            request_bytes: 1 << 20,
            small_request_bytes: 0,
            answer_bytes: 1 << 20,
            body_time: Span::from_seconds(600),
            body_rate: 1,
        };
        let port = Port {
            connections: 2,
            head_bytes: 1 << 20,
        };
        let kind = Kind {
            body_bytes: 0,
            time: Duration::ZERO,
        };
        let intake = Rc::new(Intake::new(Clock::start(), limits, port));
        let listener = accept::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let port = Rc::clone(&intake.callers);
        let (shutdown, end) = watch::channel(false);
        let serving = accept::run(listener, intake, port, end, move |accepted, shutdown| {
            receive(accepted, shutdown, kind)
        });
        tokio::task::spawn_local(serving);
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
        shutdown.send(true).unwrap();
        assert!(join(caller).await, "the request was lost");
    });
}

//! A port that closes while the process has no descriptor left, over sockets.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

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
/// Connections of each kind.
const CALLERS: usize = 3;

async fn serve(accepted: Accepted, shutdown: watch::Receiver<bool>) {
    let Accepted { socket, session } = accepted;
    let caller = session.clone();
    let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
        let body = Full::new(Bytes::from("fine"));
        let answer = caller.begin(request.version()).answer(Response::new(body));
        async move { Ok::<_, Infallible>(answer) }
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

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    socket
}

/// Opens files until the process has no descriptor left.
fn take_descriptors() -> Vec<File> {
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

/// Guards against resetting connections that wait to be accepted, where descriptors are free as soon as idle ones close.
#[test]
fn a_port_that_closes_without_descriptors_serves_those_that_wait() {
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
            connections: 10 * CALLERS,
            head_bytes: 1 << 20,
        };
        let intake = Rc::new(Intake::new(Clock::start(), limits, port));
        let listener = accept::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let port = Rc::clone(&intake.callers);
        let (shutdown, end) = watch::channel(false);
        tokio::task::spawn_local(accept::run(listener, intake, Rc::clone(&port), end, serve));
        let idle = [(); CALLERS].map(|()| connect(address));
        while port.count() < CALLERS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // New connections bring their first head within some time, so these are older.
        tokio::time::sleep(Duration::from_millis(300)).await;

        let mut waiting = [(); CALLERS].map(|()| connect(address));
        for socket in &mut waiting {
            socket.write_all(REQUEST).unwrap();
        }
        let taken = take_descriptors();
        shutdown.send(true).unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(taken);
        drop(idle);
        let answered = waiting
            .into_iter()
            .map(|mut socket| socket.read(&mut [0; 4096]).unwrap_or(0))
            .filter(|count| *count > 0)
            .count();
        assert_eq!(answered, CALLERS);
    });
}

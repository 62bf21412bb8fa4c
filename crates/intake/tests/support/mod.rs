//! A port of a process, over sockets.

#![allow(dead_code, clippy::unwrap_used)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Span;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use intake::accept;
use intake::accept::Accepted;
use intake::configs::limits::Limits;
use intake::configs::limits::Port;
use intake::configs::limits::Times;
use intake::connections::Connections;
use intake::intake::Intake;
use intake::request::Answer;
use intake::request::Session;
use tokio::sync::watch;
use tokio::task::LocalSet;

pub const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
/// Time limits that no test reaches.
pub const LONG_TIMES: Times = Times {
    head: Span::from_seconds(5),
    idle: Span::from_seconds(60),
    unread: Span::from_seconds(60),
};
/// Longest wait for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A port that is served.
pub struct Served {
    pub address: SocketAddr,
    pub port: Rc<Connections>,
    pub shutdown: watch::Sender<bool>,
}

/// Runs a test on one thread.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Starts a port with room for this many connections.
pub fn start<F>(
    connections: usize,
    serve: impl Fn(Accepted, watch::Receiver<bool>) -> F + 'static,
) -> Served
where
    F: Future<Output = ()> + 'static,
{
    let limits = Limits {
        request_bytes: 16 << 20,
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
    let (shutdown, end) = watch::channel(false);
    tokio::task::spawn_local(accept::run(listener, intake, Rc::clone(&port), end, serve));
    Served {
        address,
        port,
        shutdown,
    }
}

/// Serves a connection within these time limits.
pub async fn serve<S>(
    accepted: Accepted,
    shutdown: watch::Receiver<bool>,
    times: Times,
    service: impl FnOnce(Session) -> S,
) where
    S: Service<Request<Incoming>, Response = Response<Answer<Full<Bytes>>>, Error = Infallible>,
{
    let Accepted { socket, session } = accepted;
    let service = service(session.clone());
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let connection = pin!(connection);
    session
        .serve(connection, times, shutdown, |connection| {
            connection.graceful_shutdown();
        })
        .await;
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    socket
}

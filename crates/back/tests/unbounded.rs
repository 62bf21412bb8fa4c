//! Tests over sockets: servers whose answers go on until the client closes the connection.

#![allow(clippy::unwrap_used)]

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use back::engine::Engine;
use back::events::Chunk;
use back::events::Events;
use back::failure::Failure;
use back::http_client::Exchange;
use back::http_client::HttpClient;
use back::plain;
use bytes::Bytes;
use clock::Clock;
use http::HeaderMap;
use http::Method;
use intake::answers::Answers;
use intake::configs::limits::Port;
use intake::connections::Connections;
use intake::stats::Stats;
use request::id::Id;
use request::id::Stream;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Longest wait for the end of a flood, far longer than any takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of calls whose answers never exceed a limit of size.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes written at once, and the size of the send buffer.
const BLOCK_BYTES: usize = 16 << 10;
/// Bytes in the buffers of both sockets, which the client may never have read.
const SOCKET_BYTES: usize = 2 << 20;
/// Limits of the client: a head, an event, and bodies that are discarded or read whole.
const HEAD_BYTES: usize = 64 << 10;
const EVENT_BYTES: usize = 1 << 20;
const DISCARDED_BYTES: usize = 4 << 20;
const BODY_BYTES: usize = 64 << 20;
/// Limit of a report.
const REPORT_BYTES: usize = 4 << 20;
const HEAD: &str = "HTTP/1.1 200 X\r\n";
const CHUNKED: &str = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 X\r\ntransfer-encoding: chunked\r\n\r\n";

/// A server that sends `start` and then repeats `unit` on every connection.
struct Server {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    /// Connections on which a request arrived.
    requests: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
}

impl Server {
    async fn start(start: &str, unit: &str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Server {
            address: listener.local_addr().unwrap(),
            sent: Arc::default(),
            connections: Arc::default(),
            requests: Arc::default(),
            ended: Arc::default(),
        };
        let (start, block) = (start.to_owned(), unit.repeat(BLOCK_BYTES / unit.len() + 1));
        let (sent, ended) = (Arc::clone(&server.sent), Arc::clone(&server.ended));
        let connections = Arc::clone(&server.connections);
        let requests = Arc::clone(&server.requests);
        tokio::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                let (start, block) = (start.clone(), block.clone());
                let (sent, ended) = (Arc::clone(&sent), Arc::clone(&ended));
                let requests = Arc::clone(&requests);
                tokio::spawn(async move {
                    SockRef::from(&socket)
                        .set_send_buffer_size(BLOCK_BYTES)
                        .unwrap();
                    if matches!(socket.read(&mut [0; 4_096]).await, Ok(1..)) {
                        requests.fetch_add(1, Ordering::SeqCst);
                    }
                    let mut next = start.as_bytes();
                    while write(&mut socket, next, &sent).await {
                        next = block.as_bytes();
                    }
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    fn address(&self) -> String {
        self.address.to_string()
    }

    /// Waits until the client has closed every connection; checks how much it read on each.
    async fn check_end(&self, most: usize) {
        let waiting = async {
            while self.connections.load(Ordering::SeqCst) != self.ended.load(Ordering::SeqCst) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting).await.unwrap();
        let (sent, connections) = (&self.sent, self.connections.load(Ordering::SeqCst));
        let sent = sent.load(Ordering::SeqCst);
        assert!(sent <= connections * (most + SOCKET_BYTES), "{sent} bytes");
    }
}

/// Writes all bytes; returns whether the connection is still open.
async fn write(socket: &mut TcpStream, mut bytes: &[u8], sent: &AtomicUsize) -> bool {
    while !bytes.is_empty() {
        match socket.write(bytes).await {
            Ok(count) if count > 0 => {
                sent.fetch_add(count, Ordering::SeqCst);
                bytes = &bytes[count..];
            }
            _ => return false,
        }
    }
    true
}

fn chunk(data: &str) -> String {
    let data = data.repeat(200);
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

async fn start(client: &HttpClient, server: &Server) -> Result<Events, Failure> {
    let stream = Stream {
        request: Id::default(),
        attempt: 1,
    };
    Engine::new(client, &server.address())
        .start(stream, 1, Bytes::new())
        .await
}

async fn call(client: &HttpClient, server: &Server) -> Result<plain::Response, Failure> {
    let call = plain::Call {
        method: "POST".into(),
        path: "/file".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"once"),
    };
    plain::call(client, &server.address(), call, &room()).await
}

/// Returns room for more than one answer of the largest size.
fn room() -> Answers {
    let clock = Clock::start();
    let port = Port {
        connections: 1,
        head_bytes: 1,
    };
    let callers = Rc::new(Connections::new(port));
    Answers::new(clock, 4 * BODY_BYTES, callers, Stats::new(clock))
}

/// Starts of answers without an end, with the unit that is repeated.
fn heads() -> Vec<(String, &'static str)> {
    vec![
        (HEAD.into(), "x-more: more\r\n"),
        (format!("{HEAD}x-long: "), "value"),
        ("HTTP/1.1 200 ".into(), "reason"),
        (String::new(), "HTTP/1.1 103 Early\r\nx-more: more\r\n\r\n"),
    ]
}

/// Guards against heads that are read until the time limit, and against the verdict that their server crashed.
#[test]
fn an_endless_head_is_an_invalid_answer() {
    run(async {
        let client = HttpClient::new();
        for (first, unit) in heads() {
            let server = Server::start(&first, unit).await;
            let failure = call(&client, &server).await.unwrap_err();
            assert_eq!(failure, Failure::Invalid, "{unit}");
            assert!(!failure.definitely_not_run());
            let failure = start(&client, &server).await.unwrap_err();
            assert_eq!(failure, Failure::Invalid, "{unit}");
            server.check_end(HEAD_BYTES).await;
            // Each call met a connection of its own.
            assert_eq!(server.connections.load(Ordering::SeqCst), 2);
        }
    });
}

/// Guards against bodies without end in answers that are read whole.
#[test]
fn an_endless_body_is_an_invalid_answer() {
    run(async {
        let client = HttpClient::new();
        let cases = [
            (
                CHUNKED.to_owned(),
                chunk("no answer"),
                BODY_BYTES + (BODY_BYTES >> 4),
            ),
            (format!("{HEAD}\r\n"), "no answer".into(), BODY_BYTES),
            (format!("{CHUNKED}1;"), "extension".into(), HEAD_BYTES),
            (
                format!("{CHUNKED}0\r\n"),
                "x-more: more\r\n".into(),
                HEAD_BYTES,
            ),
        ];
        for (first, unit, most) in cases {
            let server = Server::start(&first, &unit).await;
            let failure = call(&client, &server).await.unwrap_err();
            assert_eq!(failure, Failure::Invalid, "{first}");
            server.check_end(most).await;
        }
    });
}

/// Guards against reports that take as much memory as an exported cache, and many times that once they are parsed.
#[test]
fn an_endless_report_is_an_invalid_answer() {
    run(async {
        let client = HttpClient::new();
        let server = Server::start(&format!("{CHUNKED}1\r\n[\r\n"), &chunk("0,")).await;
        let load = Engine::new(&client, &server.address()).load().await;
        assert_eq!(load, Err(Failure::Invalid));
        server.check_end(2 * REPORT_BYTES).await;
    });
}

/// Guards against failures whose bodies are kept although nothing needs them.
#[test]
fn an_endless_body_of_a_failure_is_an_invalid_answer() {
    run(async {
        let client = HttpClient::new();
        let server = Server::start(FAILED, &chunk("no answer")).await;
        let failure = start(&client, &server).await.unwrap_err();
        assert_eq!(failure, Failure::Invalid);
        let address = server.address();
        let exchange = Exchange::new(&address, Method::GET, "/v1/load", TIMEOUT);
        let failure = client.fetch(exchange).await.unwrap_err();
        assert_eq!(failure, Failure::Invalid);
        server.check_end(2 * DISCARDED_BYTES).await;
    });
}

/// Guards against streams that hold a caller, or grow, without an event.
#[test]
fn an_endless_stream_without_events_is_an_invalid_answer() {
    run(async {
        let client = HttpClient::new();
        for unit in ["no answer", ": alive\n\n", "event: ping\n\n"] {
            let token = "id: 0\ndata: word\n\n";
            let first = format!("{CHUNKED}{:x}\r\n{token}\r\n", token.len());
            let server = Server::start(&first, &chunk(unit)).await;
            let mut events = start(&client, &server).await.unwrap();
            assert!(matches!(
                events.next().await,
                Ok(Chunk::Token { offset: 0, .. })
            ));
            let next = tokio::time::timeout(TIMEOUT, events.next()).await;
            assert_eq!(next.unwrap(), Err(Failure::Invalid), "{unit}");
            drop(events);
            server.check_end(2 * EVENT_BYTES).await;
        }
    });
}

/// Guards against answers that outlast their time limit because bytes keep arriving.
#[test]
fn endless_digits_of_a_chunk_size_end_at_the_time_limit() {
    run(async {
        let client = HttpClient::new();
        let server = Server::start(CHUNKED, "0000").await;
        let address = server.address();
        let exchange = Exchange::new(&address, Method::GET, "/v1/load", CALL_TIMEOUT);
        let failure = client.fetch(exchange).await.unwrap_err();
        assert_eq!(failure, Failure::TimedOut);
        server.check_end(usize::MAX >> 8).await;
    });
}

/// Guards against a stream whose flood goes on after its reader's time limit. Digits of a chunk's size are no data, so no
/// limit of size ends it: the daemon's time limit for requests does, by dropping the stream.
#[test]
fn endless_digits_of_a_chunk_size_end_when_the_stream_is_dropped() {
    run(async {
        let client = HttpClient::new();
        let token = "id: 0\ndata: word\n\n";
        let first = format!("{CHUNKED}{:x}\r\n{token}\r\n", token.len());
        let server = Server::start(&first, "0000").await;
        let mut events = start(&client, &server).await.unwrap();
        assert!(matches!(
            events.next().await,
            Ok(Chunk::Token { offset: 0, .. })
        ));
        let next = tokio::time::timeout(CALL_TIMEOUT, events.next()).await;
        assert!(next.is_err(), "{next:?}");
        drop(events);
        server.check_end(usize::MAX >> 8).await;
    });
}

/// Guards against floods that go on although the call was given up, and against their connections' use.
#[test]
fn an_endless_answer_ends_when_its_call_is_dropped() {
    run(async {
        let client = HttpClient::new();
        let mut cases = heads();
        cases.push((CHUNKED.into(), "2\r\nno\r\n"));
        cases.push((format!("{HEAD}\r\n"), "no answer"));
        cases.push((CHUNKED.into(), "0000"));
        cases.push((FAILED.into(), "2\r\nno\r\n"));
        for (first, unit) in cases {
            let server = Server::start(&first, unit).await;
            let waiting = tokio::time::timeout(Duration::from_millis(20), call(&client, &server));
            let _ = waiting.await;
            server.check_end(BODY_BYTES).await;
            assert_eq!(server.requests.load(Ordering::SeqCst), 1, "{first}");
            // A second connection is to show that the server lives, where only the end of the first one ends the answer.
            let most = 1 + usize::from(first == format!("{HEAD}\r\n"));
            assert!(server.connections.load(Ordering::SeqCst) <= most, "{first}");
        }
    });
}

/// Guards against a false verdict on a request that its server didn't run, and against the use of its connection.
#[test]
fn a_statement_that_a_request_was_not_started_holds_with_an_endless_body() {
    run(async {
        let client = HttpClient::new();
        let head = "HTTP/1.1 503 X\r\nx-not-started: 1\r\ntransfer-encoding: chunked\r\n\r\n";
        let server = Server::start(head, &chunk("no answer")).await;
        for _ in 0..2 {
            let failure = call(&client, &server).await.unwrap_err();
            assert_eq!(failure, Failure::NotStarted { pause: None });
        }
        server.check_end(EVENT_BYTES).await;
        assert_eq!(server.connections.load(Ordering::SeqCst), 2);
    });
}

//! Callers that don't behave, against an entry with the product's own wire as a process: it lives, stays within its
//! memory and descriptors, and answers an ordinary request.

#![allow(clippy::unwrap_used)]

mod harness;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use harness::cluster::Cluster;
use harness::cluster::Size;
use harness::process::Process;
use harness::process::scratch_path;
use http::Request;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper::rt::Executor;
use hyper_util::rt::TokioIo;
use ops::client::Client;
use ops::request::Request::GetStatus;
use serde_json::json;
use soak::crowd;
use soak::crowd::Crowd;
use soak::crowd::Framing;
use soak::crowd::Member;
use standin::sample;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Held by the test that runs, since others would take processor time from it.
static ALONE: Mutex<()> = Mutex::new(());

/// Memory of the entry's machine.
const MEMORY_MB: usize = 96;
/// Descriptors that the entry may open.
const DESCRIPTORS: usize = 300;
/// Limit of a call's body.
const BODY_BYTES: usize = 1 << 20;
/// Large bodies at once, together twice the memory.
const LARGE_BODIES: usize = 192;
/// Connections, more than there are descriptors.
const CONNECTIONS: usize = 400;
/// Longest wait for an answer, after which an ordinary caller tries again, and number of tries.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);
const TRIES: usize = 8;
/// Longest wait for a crowd to have sent everything, far longer than any takes.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time in which a crowd goes on.
const CROWD_TIME: Duration = Duration::from_secs(2);
/// Size of a part of a body on HTTP/2.
const FRAME_BYTES: usize = 16 << 10;

/// Start of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// HTTP/2 connections, and calls that are given up on each.
const HTTP2_CONNECTIONS: usize = 4;
const GIVEN_UP_CALLS: usize = 1_000;
/// Bytes of an answer that a caller on HTTP/2 takes unread.
const HTTP2_WINDOW_BYTES: u32 = 1 << 20;

/// An installation with one entry.
struct World {
    cluster: Cluster,
}

impl World {
    async fn start() -> World {
        let mut cluster = Cluster::start(&Size {
            entries: 0,
            engines: 1,
            services: 1,
            token_ms: 5,
        })
        .await;
        let platform = cluster.platform.address("address");
        let settings = json!({
            "identity": {"name": "entry-0", "zone": "a"},
            "callers": {
                "listen": sample::ANY_PORT, "max_body_bytes": BODY_BYTES,
                "header_timeout_ms": 600_000, "body_timeout_ms": 600_000,
            },
            "machine": {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS},
            "admin": {"listen": sample::ANY_PORT},
            "operators": {"listen": sample::ANY_PORT, "key": sample::OPERATORS_KEY},
            "peers": {"listen": sample::ANY_PORT, "key": sample::PEER_KEY},
            "platform": {
                "table_service": format!("http://{platform}"), "cloud": format!("http://{platform}"),
                "instances_interval_ms": 200,
            },
            "leases": {"term_ms": 3000, "margin_ms": 500, "renew_interval_ms": 800},
        });
        let path = scratch_path("crowd.jsonc");
        std::fs::write(&path, settings.to_string()).unwrap();
        let path = path.display().to_string();
        let arguments = ["entry", "--settings", &path];
        let entry = Process::start_limited("entry-0", &arguments, DESCRIPTORS).await;
        cluster.entries.push(entry);
        cluster.deploy().await;
        let world = World { cluster };
        world.check_served().await;
        world
    }

    fn address(&self, port: &str) -> SocketAddr {
        self.cluster.entries[0].address(port).parse().unwrap()
    }

    /// Opens an HTTP/2 connection of a caller.
    async fn http2(&self, window: u32) -> http2::SendRequest<CallBody> {
        http2_connection(self.address("callers"), window).await
    }

    /// Starts a crowd at a port of the entry, and waits until it has sent everything.
    async fn crowd(&self, port: &str, size: usize, member: &Member) -> Crowd {
        let crowd = Crowd::start(self.address(port), size, member).unwrap();
        let settled = tokio::time::timeout(SETTLE_TIMEOUT, crowd.settle()).await;
        assert!(settled.is_ok(), "the entry takes no connections");
        tokio::time::sleep(CROWD_TIME).await;
        crowd
    }

    /// Checks that an ordinary call is answered.
    async fn check_served(&self) {
        let request = format!("{}Connection: close\r\n\r\n", head("GET"));
        let mut last = None;
        for _ in 0..TRIES {
            let asking = crowd::ask(self.address("callers"), request.as_bytes());
            let answer = tokio::time::timeout(TRY_TIMEOUT, asking).await;
            last = answer.ok().and_then(Result::ok).map(|(status, _)| status);
            if last == Some(200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        panic!("an ordinary call was answered with {last:?}");
    }

    /// Checks that an operator's call is answered.
    async fn check_operated(&self) {
        for _ in 0..TRIES {
            let operating = async {
                let address = format!("http://{}", self.address("operators"));
                match Client::connect(&address, sample::OPERATORS_KEY).await {
                    Ok(mut operator) => operator.call(GetStatus).await.is_ok(),
                    Err(_) => false,
                }
            };
            if tokio::time::timeout(TRY_TIMEOUT, operating).await == Ok(true) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        panic!("no operator's call was answered");
    }

    /// Checks that the entry lives within its memory and descriptors, and answers an ordinary call.
    async fn check(&mut self) {
        self.check_bounds();
        self.check_served().await;
        self.check_bounds();
    }

    fn check_bounds(&mut self) {
        let entry = &mut self.cluster.entries[0];
        assert!(!entry.has_ended());
        let memory = crowd::peak_memory(entry.id()).unwrap() >> 20;
        assert!(memory <= MEMORY_MB, "the entry took {memory} MiB");
        let descriptors = crowd::descriptors(entry.id()).unwrap();
        println!("{memory} MiB, {descriptors} descriptors");
        assert!(
            descriptors < DESCRIPTORS,
            "the entry has {descriptors} open"
        );
    }
}

/// Returns the head of a call of the plain service, without its last headers.
fn head(method: &str) -> String {
    let (service, key) = (sample::SERVICE, sample::ACCOUNT_KEY);
    format!(
        "{method} /services/{service}/records HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n"
    )
}

/// Runs one test alone on its own entry.
fn alone(test: impl Future<Output = ()>) {
    let alone = ALONE.lock();
    harness::run(test);
    drop(alone);
}

fn play(port: &str, size: usize, member: Member) {
    alone(async {
        let mut world = World::start().await;
        let crowd = world.crowd(port, size, &member).await;
        world.check().await;
        drop(crowd);
        world.check().await;
    });
}

/// Guards against memory that grows with the number of large calls, announced by their length.
#[test]
fn calls_without_their_last_byte() {
    let body = crowd::request(&head("PUT"), Framing::Length, BODY_BYTES, 1);
    play("callers", LARGE_BODIES, Member::sending(body));
}

/// Guards against memory that grows with the number of chunks instead of their bytes.
#[test]
fn calls_in_chunks_of_one_byte() {
    let body = crowd::request(&head("PUT"), Framing::Chunks(1), BODY_BYTES, 1);
    play("callers", 8, Member::sending(body));
}

/// Guards against connections that take all descriptors and send nothing.
#[test]
fn callers_that_send_nothing() {
    play("callers", CONNECTIONS, Member::silent());
}

/// Guards against connections that take all descriptors with heads that never end.
#[test]
fn callers_that_send_half_a_head() {
    play("callers", CONNECTIONS, Member::sending(head("PUT")));
}

/// Guards against connections to the port for health checks that take all descriptors.
#[test]
fn crowd_at_the_admin_port() {
    play("admin", CONNECTIONS, Member::silent());
}

/// Guards against connections to the port for other entries that take all descriptors.
#[test]
fn crowd_at_the_port_for_entries() {
    play("peers", CONNECTIONS, Member::silent());
}

/// Guards against connections to the operators' port that take all descriptors, and keep operators out.
#[test]
fn crowd_at_the_operators_port() {
    for member in [Member::silent(), Member::sending(HTTP2_PREFACE)] {
        alone(async {
            let mut world = World::start().await;
            let crowd = world.crowd("operators", CONNECTIONS, &member).await;
            world.check().await;
            world.check_operated().await;
            drop(crowd);
            world.check().await;
        });
    }
}

/// Guards against memory for calls over the limit that aren't announced.
#[test]
fn calls_over_the_limit_in_chunks_of_one_byte() {
    let body = crowd::request(&head("PUT"), Framing::Chunks(1), 2 * BODY_BYTES, 1);
    play("callers", 16, Member::sending(body));
}

/// Guards against memory for the trailers of a body.
#[test]
fn trailers_without_an_end() {
    let trailers = "Trailer: some text\r\n".repeat(BODY_BYTES / 20);
    let head = head("PUT");
    let message = format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n{trailers}");
    play("callers", LARGE_BODIES, Member::sending(message));
}

/// Guards against memory for the extension of a chunk.
#[test]
fn chunk_extensions_without_an_end() {
    let extension = "x".repeat(BODY_BYTES);
    let head = head("PUT");
    let message = format!("{head}Transfer-Encoding: chunked\r\n\r\n1;{extension}");
    play("callers", LARGE_BODIES, Member::sending(message));
}

/// Guards against calls that are sent on one connection before the answers to earlier ones are read.
#[test]
fn pipelined_calls_whose_answers_are_not_read() {
    let one = crowd::request(&head("PUT"), Framing::Length, 10_000, 0);
    play("callers", 50, Member::not_reading(one.repeat(100)));
}

/// Guards against a stop that waits for callers that don't behave.
#[test]
fn an_entry_stops_while_a_crowd_stays() {
    alone(async {
        let mut world = World::start().await;
        let body = crowd::request(&head("PUT"), Framing::Length, BODY_BYTES, 1);
        let member = Member::sending(body);
        let crowd = world.crowd("callers", LARGE_BODIES, &member).await;
        world.check_bounds();
        let entry = &mut world.cluster.entries[0];
        entry.signal("TERM").await;
        let waiting = async {
            while !entry.has_ended() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let ended = tokio::time::timeout(SETTLE_TIMEOUT, waiting).await;
        assert!(ended.is_ok(), "the entry goes on");
        assert_eq!(entry.exit_code(), Some(0));
        drop(crowd);
    });
}

/// Guards against HTTP/2 connections without a call that take all descriptors.
#[test]
fn http2_connections_without_a_call() {
    play("callers", CONNECTIONS, Member::sending(HTTP2_PREFACE));
}

/// Guards against memory for answers that aren't read.
#[test]
fn answers_that_callers_do_not_read() {
    let body = crowd::request(&head("PUT"), Framing::Length, BODY_BYTES, 0);
    play("callers", LARGE_BODIES, Member::not_reading(body));
}

/// Guards against memory that grows with the streams of a few HTTP/2 connections.
#[test]
fn http2_streams_without_their_last_byte() {
    alone(async {
        let mut world = World::start().await;
        let mut streams = JoinSet::new();
        for _ in 0..HTTP2_CONNECTIONS {
            let sender = world.http2(HTTP2_WINDOW_BYTES).await;
            for _ in 0..LARGE_BODIES / 2 {
                let mut sender = sender.clone();
                streams.spawn_local(async move {
                    let _ = sender.ready().await;
                    let answer = sender.send_request(unfinished_call()).await;
                    // The stream stays for as long as its answer, if it has one.
                    std::future::pending::<()>().await;
                    drop(answer);
                });
            }
        }
        tokio::time::sleep(2 * CROWD_TIME).await;
        world.check().await;
        drop(streams);
        world.check().await;
    });
}

/// Guards against memory for answers to the streams of a few HTTP/2 connections that aren't read.
#[test]
fn http2_answers_that_are_not_read() {
    alone(async {
        let mut world = World::start().await;
        let mut streams = JoinSet::new();
        for _ in 0..HTTP2_CONNECTIONS {
            let sender = world.http2(1).await;
            for _ in 0..LARGE_BODIES / 2 {
                let mut sender = sender.clone();
                streams.spawn_local(async move {
                    let _ = sender.ready().await;
                    let answer = sender.send_request(whole_call()).await;
                    std::future::pending::<()>().await;
                    drop(answer);
                });
            }
        }
        tokio::time::sleep(2 * CROWD_TIME).await;
        world.check().await;
        drop(streams);
        world.check().await;
    });
}

/// Guards against memory, and calls that keep running, for HTTP/2 streams that are given up as soon as they begin.
#[test]
fn http2_streams_that_are_given_up_at_once() {
    alone(async {
        let mut world = World::start().await;
        let mut connections = JoinSet::new();
        for _ in 0..HTTP2_CONNECTIONS {
            let mut sender = world.http2(HTTP2_WINDOW_BYTES).await;
            let address = world.address("callers");
            connections.spawn_local(async move {
                for _ in 0..GIVEN_UP_CALLS {
                    if sender.ready().await.is_err() {
                        sender = http2_connection(address, HTTP2_WINDOW_BYTES).await;
                    }
                    let answering = sender.send_request(unfinished_call());
                    let _ = tokio::time::timeout(Duration::from_millis(1), answering).await;
                }
            });
        }
        let ended = tokio::time::timeout(SETTLE_TIMEOUT, connections.join_all()).await;
        assert!(ended.is_ok(), "the entry takes no streams");
        world.check().await;
    });
}

/// Opens an HTTP/2 connection whose streams take this many bytes of an answer unread.
async fn http2_connection(address: SocketAddr, window: u32) -> http2::SendRequest<CallBody> {
    let socket = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http2::Builder::new(LocalExecutor)
        .initial_stream_window_size(window)
        .handshake(TokioIo::new(socket))
        .await
        .unwrap();
    tokio::task::spawn_local(connection);
    sender
}

/// Returns a call with its whole body.
fn whole_call() -> Request<CallBody> {
    let full = Bytes::from_static(&[b'x'; FRAME_BYTES]);
    let frames = stream::repeat(full)
        .take(BODY_BYTES / FRAME_BYTES)
        .map(|bytes| Ok(Frame::data(bytes)));
    call(frames.boxed())
}

type CallBody = StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, Infallible>>>;

/// Returns a call whose body ends one byte early and stays open.
fn unfinished_call() -> Request<CallBody> {
    let full = Bytes::from_static(&[b'x'; FRAME_BYTES]);
    let last = full.slice(1..);
    let frames = stream::repeat(full)
        .take(BODY_BYTES / FRAME_BYTES - 1)
        .chain(stream::once(std::future::ready(last)))
        .map(|bytes| Ok(Frame::data(bytes)))
        .chain(stream::pending());
    call(frames.boxed())
}

/// Returns a call with this body.
fn call(frames: stream::BoxStream<'static, Result<Frame<Bytes>, Infallible>>) -> Request<CallBody> {
    Request::put(format!("http://entry/services/{}/records", sample::SERVICE))
        .header("authorization", format!("Bearer {}", sample::ACCOUNT_KEY))
        .body(StreamBody::new(frames))
        .unwrap()
}

/// Spawns the tasks of a connection on the local thread.
#[derive(Clone, Copy)]
struct LocalExecutor;

impl<F: Future<Output = ()> + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}

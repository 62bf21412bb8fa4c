//! Tests over sockets: whether what a plain service sent is its whole answer.

#![allow(clippy::unwrap_used)]

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use back::failure::Failure;
use back::http_client::HttpClient;
use back::plain;
use bytes::Bytes;
use clock::Clock;
use http::HeaderMap;
use intake::answers::Answers;
use intake::configs::limits::Port;
use intake::connections::Connections;
use intake::stats::Stats;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Size of a body that fills the buffers of all connections on its way, bytes.
const LONG_BODY: usize = 12 << 20;
/// Room for answers, bytes.
const ROOM: usize = 64 << 20;
/// Longest wait for an answer, far longer than any takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Heads after which only the end of the connection marks the end of the body.
const UNFRAMED: [&str; 2] = ["HTTP/1.1 200 X\r\n\r\n", "HTTP/1.0 200 X\r\n\r\n"];
/// Heads whose status is none.
const NO_STATUS: [&str; 4] = [
    "HTTP/1.1 000 X\r\n",
    "HTTP/1.1 0 X\r\n",
    "HTTP/1.1 099 X\r\n",
    "HTTP/1.1 1000 X\r\n",
];

/// What a service does after its first bytes.
#[derive(Clone, Copy, Debug)]
enum Last {
    /// It sends the rest, and stays.
    Rest,
    /// Its process is killed, once everything was read.
    Killed,
    /// Another process takes its address soon after it was killed.
    Restarted(Duration),
    /// It stays, and resets the connection.
    Reset(Duration),
}

/// Calls a service that answers with `first`, before it has read the whole request, and then does `last`.
async fn ask(first: &'static str, last: Last, body: usize) -> Result<plain::Response, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let _ = socket.read(&mut [0; 4_096]).await;
        let _ = socket.write_all(first.as_bytes()).await;
        let pause = Duration::from_millis(50);
        match last {
            Last::Rest => {
                tokio::time::sleep(pause).await;
                socket.write_all(b" and the rest").await.unwrap();
                drop(socket);
                keep(listener).await;
            }
            Last::Killed => {
                tokio::time::sleep(pause).await;
                drop((socket, listener));
            }
            Last::Restarted(after) => {
                tokio::time::sleep(pause).await;
                drop((socket, listener));
                tokio::time::sleep(after).await;
                keep(TcpListener::bind(address).await.unwrap()).await;
            }
            Last::Reset(after) => {
                tokio::time::sleep(after).await;
                SockRef::from(&socket)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                drop(socket);
                keep(listener).await;
            }
        }
    });
    let call = plain::Call {
        method: "POST".into(),
        path: "/file".into(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; body]),
    };
    let (client, room) = (HttpClient::new(), room());
    let address = address.to_string();
    let calling = plain::call(&client, &address, call, &room);
    tokio::time::timeout(TIMEOUT, calling).await.unwrap()
}

/// Takes connections and leaves them open.
async fn keep(listener: TcpListener) {
    let mut sockets: Vec<TcpStream> = Vec::new();
    while let Ok((socket, _)) = listener.accept().await {
        sockets.push(socket);
    }
}

fn room() -> Answers {
    let clock = Clock::start();
    let port = Port {
        connections: 1,
        head_bytes: 1,
    };
    let callers = Rc::new(Connections::new(port));
    Answers::new(clock, ROOM, callers, Stats::new(clock))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn with_body(head: &str, body: &str) -> &'static str {
    Box::leak(format!("{head}{body}").into_boxed_str())
}

/// Guards against half of an answer that is passed on as a whole one, since its service's process was killed.
#[test]
fn half_an_answer_of_a_killed_service_is_not_whole() {
    run(async {
        for head in UNFRAMED {
            for last in [
                Last::Killed,
                Last::Restarted(Duration::ZERO),
                Last::Restarted(Duration::from_millis(20)),
            ] {
                let answer = ask(with_body(head, "half"), last, 1).await;
                let failure = answer.unwrap_err();
                assert!(!failure.definitely_not_run(), "{head:?} {last:?}");
            }
        }
    });
}

/// Guards against answers that are taken for broken off although nothing happened to their service.
#[test]
fn an_answer_that_ends_with_its_connection_is_whole_if_its_service_stays() {
    run(async {
        for head in UNFRAMED {
            let answer = ask(with_body(head, "half"), Last::Rest, 1).await;
            assert_eq!(answer.unwrap().body, "half and the rest", "{head:?}");
        }
    });
}

/// Guards against a part of an answer without a length that is passed on as a whole one, since its connection was reset while
/// the request was still being sent.
#[test]
fn an_answer_that_is_reset_amid_the_request_is_not_whole() {
    run(async {
        for head in UNFRAMED {
            for after in [0, 5, 50, 300].map(Duration::from_millis) {
                let answer = ask(with_body(head, "half"), Last::Reset(after), LONG_BODY).await;
                let failure = answer.unwrap_err();
                assert!(!failure.definitely_not_run(), "{head:?} after {after:?}");
            }
        }
    });
}

/// Guards against an answer that ended within its head, passed on as an empty or a short one.
#[test]
fn an_answer_that_ends_within_its_head_is_not_whole() {
    run(async {
        let whole = "HTTP/1.1 200 X\r\ncontent-length: 4\r\nx-more: more\r\n\r\n";
        for end in 1..whole.len() {
            let failure = ask(&whole[..end], Last::Killed, 1).await.unwrap_err();
            assert!(!failure.definitely_not_run(), "{:?}", &whole[..end]);
        }
    });
}

/// Guards against bytes that are no answer in the protocol, which are passed on as one.
#[test]
fn an_answer_whose_status_is_none_is_not_passed_on() {
    run(async {
        for first_line in NO_STATUS {
            let text = format!("{first_line}content-length: 4\r\n\r\n");
            let failure = ask(with_body(&text, "fine"), Last::Rest, 1).await;
            assert_eq!(failure.unwrap_err(), Failure::Invalid, "{first_line:?}");
        }
    });
}

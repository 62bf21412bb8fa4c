//! Connections to servers that leave.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Span;
use clock::Time;
use gateway::attempt::Endpoint;
use http::HeaderMap;
use http::Request;
use http_body_util::Full;
use relay::pool::Kept;
use relay::pool::Pool;
use relay::pool::open_socket;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Time for which the process stands still.
const STALL: Duration = Duration::from_millis(100);

async fn listener() -> (TcpListener, Endpoint) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = Endpoint {
        address: listener.local_addr().unwrap().to_string().into(),
        id: "s1".into(),
        incarnation: "s1#1".into(),
    };
    (listener, endpoint)
}

#[tokio::test]
async fn a_closed_server_gets_no_more_requests() {
    // The server starts to leave while one connection is in use and another is idle. Either would carry a
    // request that the server's end cuts off.
    let (_listener, endpoint) = listener().await;
    let check = async {
        let pool = Pool::new(Clock::start());
        for _ in 0..2 {
            let connection = pool.connect(&endpoint).await.unwrap();
            pool.release(&endpoint, connection, &HeaderMap::new()).await;
        }
        let busy = pool.take(&endpoint, true).unwrap();
        assert!(pool.accepts_requests(&endpoint));

        pool.close(endpoint.incarnation.clone());
        assert!(!pool.accepts_requests(&endpoint));
        assert!(pool.take(&endpoint, true).is_none());
        // The answer on the other connection is complete.
        pool.release(&endpoint, busy, &HeaderMap::new()).await;
        assert!(pool.take(&endpoint, true).is_none());
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn a_new_incarnation_of_a_closed_server_accepts_requests() {
    let (_listener, endpoint) = listener().await;
    let pool = Pool::new(Clock::start());
    pool.close(endpoint.incarnation.clone());
    let next = Endpoint {
        incarnation: "s1#2".into(),
        ..endpoint
    };
    assert!(pool.accepts_requests(&next));
}

#[tokio::test]
async fn a_pausing_server_gets_no_request_that_waited_for_its_connection() {
    let (_listener, endpoint) = listener().await;
    let check = async {
        let pool = Pool::new(Clock::start());
        let connection = pool.connect(&endpoint).await.unwrap();
        pool.pause(endpoint.incarnation.clone(), Span::from_seconds(60));
        assert!(!pool.accepts_requests(&endpoint));
        assert!(!pool.is_closed(&endpoint));
        // The connection serves again after the pause.
        pool.release(&endpoint, connection, &HeaderMap::new()).await;
        assert!(pool.take(&endpoint, true).is_some());

        pool.pause(endpoint.incarnation.clone(), Span::ZERO);
        assert!(!pool.accepts_requests(&endpoint));
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn a_server_accepts_requests_after_its_pause() {
    let (_listener, endpoint) = listener().await;
    let pool = Pool::new(Clock::start());
    pool.pause(endpoint.incarnation.clone(), Span::from_millis(5));
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(pool.accepts_requests(&endpoint));
}

/// Guards against sending a request on a connection that its server ended while the process stood still: it would break off,
/// and count as one that may have run.
#[tokio::test]
async fn a_connection_that_ended_during_a_pause_is_not_used() {
    let (listener, endpoint) = listener().await;
    let check = async {
        let pool = Pool::new(Clock::start());
        let connection = pool.connect(&endpoint).await.unwrap();
        let (server, _) = listener.accept().await.unwrap();
        pool.release(&endpoint, connection, &HeaderMap::new()).await;
        let server = server.into_std().unwrap();
        let ending = std::thread::spawn(move || {
            std::thread::sleep(STALL / 2);
            drop(server);
        });
        std::thread::sleep(STALL);
        ending.join().unwrap();
        assert!(pool.take_after_pause(&endpoint, true).await.is_none());
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn an_abandoned_request_does_not_go_on_by_itself() {
    // A closed socket still delivers its buffered data: over a full or interrupted link, an abandoned request
    // reached its server seconds later.
    let (listener, endpoint) = listener().await;
    let check = async {
        let pool = Pool::new(Clock::start());
        let mut connection = pool.connect(&endpoint).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        let body = Bytes::from(vec![b'x'; 32 << 20]);
        let sending = connection.sender.send_request(request(body));
        // The server reads nothing, so the buffers of both sides fill.
        let waited = tokio::time::timeout(Duration::from_millis(100), sending).await;
        assert!(waited.is_err());
        drop(connection);
        tokio::task::yield_now().await;

        let mut buffer = vec![0; 64 << 10];
        let end = loop {
            match server.read(&mut buffer).await {
                Ok(0) => break None,
                Ok(_) => {}
                Err(error) => break Some(error.kind()),
            }
        };
        assert_eq!(end, Some(ErrorKind::ConnectionReset));
    };
    LocalSet::new().run_until(check).await;
}

fn request(body: Bytes) -> Request<Full<Bytes>> {
    Request::post("/").body(Full::new(body)).unwrap()
}

/// Guards against breaking connections to a sound server that is silent for a second.
#[tokio::test]
async fn a_connection_outlasts_a_short_silence_of_its_server() {
    const SILENCE: Duration = Duration::from_millis(1_500);
    let (_listener, endpoint) = listener().await;
    let socket = open_socket(&endpoint).await.unwrap();
    let options = SockRef::from(&socket);
    // The user timeout decides for unacknowledged data and for keepalive probes.
    assert!(options.tcp_user_timeout().unwrap().unwrap() > SILENCE);
    assert!(options.keepalive().unwrap());
}

#[tokio::test]
async fn a_server_whose_address_another_one_has_is_succeeded() {
    // Guards against an answer that looks whole since the next process at its server's address accepts connections.
    let (_listener, endpoint) = listener().await;
    let pool = Pool::new(Clock::start());
    pool.open(endpoint.clone());
    assert!(!pool.is_succeeded(&endpoint));
    pool.close(endpoint.incarnation.clone());
    assert!(!pool.is_succeeded(&endpoint));
    pool.open(Endpoint {
        incarnation: "s1#2".into(),
        ..endpoint.clone()
    });
    assert!(pool.is_succeeded(&endpoint));
}

#[tokio::test]
async fn an_idle_connection_tells_for_a_moment_that_its_server_has_ended() {
    // Guards against an answer that looks whole since another process accepts connections at its server's address, and
    // against one that looks truncated since its server closed an idle connection long before.
    let (listener, endpoint) = listener().await;
    let check = async {
        let clock = Clock::start();
        let pool = Pool::new(clock);
        let connection = pool.connect(&endpoint).await.unwrap();
        let (server, _) = listener.accept().await.unwrap();
        pool.release(&endpoint, connection, &HeaderMap::new()).await;
        assert_eq!(pool.kept_since(&endpoint, Time::ZERO), Kept::None);
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert_eq!(pool.kept_since(&endpoint, clock.now()), Kept::Open);

        drop(server);
        tokio::time::sleep(Duration::from_millis(50)).await;
        // Another request looks for a connection.
        assert!(pool.take(&endpoint, true).is_none());
        assert_eq!(pool.kept_since(&endpoint, clock.now()), Kept::Ended);
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(pool.kept_since(&endpoint, clock.now()), Kept::None);
    };
    LocalSet::new().run_until(check).await;
}

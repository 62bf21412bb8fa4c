//! Outcomes that the HTTP driver reports for a misbehaving service.

#![allow(clippy::unwrap_used)] // the lint exempts test functions but not the helpers beside them

use std::time::Duration;

use serde_json::json;
use store::call::Address;
use store::call::Call;
use store::call::Outcome;
use store::call::Transaction;
use store::driver::Driver;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a service that answers the first request of each connection with `answer`, then closes it.
async fn service(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4096];
            let _ = socket.read(&mut buffer).await;
            if answer.is_empty() {
                tokio::time::sleep(TIMEOUT.saturating_mul(10)).await;
            }
            let _ = socket.write_all(answer.as_bytes()).await;
        }
    });
    address
}

fn address() -> Address {
    Address {
        table: "leases".into(),
        key: "fleet/thesis 1".into(),
    }
}

/// Formats a complete response.
fn answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn read_and_write(answer: &str) -> (Outcome, Outcome) {
    let driver = Driver::new(&service(answer.to_owned()).await, TIMEOUT);
    let read = driver.call(&Call::Get { address: address() }).await;
    let write = driver.call(&Call::Transact(Transaction::default())).await;
    (read, write)
}

#[tokio::test]
async fn answers_are_read() {
    let found = answer("200 OK", r#"{"key":"k","value":[1],"revision":7}"#);
    let (read, _) = read_and_write(&found).await;
    let Outcome::Row(Some(row)) = read else {
        panic!("{read:?}")
    };
    assert_eq!((row.revision, row.value), (7, json!([1])));

    let (read, _) = read_and_write(&answer("404 Not Found", "")).await;
    assert_eq!(read, Outcome::Row(None));

    let committed = answer("200 OK", r#"{"revision":9}"#);
    assert_eq!(read_and_write(&committed).await.1, Outcome::Committed(9));

    let failed = r#"{"failed":[{"table":"leases","key":"fleet/thesis 1","row":null}]}"#;
    let (_, write) = read_and_write(&answer("409 Conflict", failed)).await;
    assert_eq!(write, Outcome::Conflict(vec![(address(), None)]));
}

/// A write is applied, but its answer is lost: truncated, late or replaced by a gateway's error.
/// The sender must not conclude that nothing happened.
#[tokio::test]
async fn a_lost_answer_to_a_write_is_unknown() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"rev";
    let gateway = answer("502 Bad Gateway", "");
    for answer in [cut, &gateway, ""] {
        let (read, write) = read_and_write(answer).await;
        assert_eq!(read, Outcome::Unavailable, "{answer}");
        assert_eq!(write, Outcome::Unknown, "{answer}");
    }
}

/// A service that answers 503 or refuses the connection has not applied the write, so the caller can be told
/// "not run" immediately.
#[tokio::test]
async fn a_service_that_is_down_did_nothing() {
    let down = answer("503 Service Unavailable", "");
    assert_eq!(
        read_and_write(&down).await,
        (Outcome::Unavailable, Outcome::Unavailable)
    );

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let driver = Driver::new(&address, TIMEOUT);
    let write = driver.call(&Call::Transact(Transaction::default())).await;
    assert_eq!(write, Outcome::Unavailable);
}

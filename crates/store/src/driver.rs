//! HTTP client of the table service and the object store.
//!
//! The outcome tells a writer whether it may retry. [`Outcome::Unavailable`] ("nothing happened") is returned
//! for a transaction only if no byte of it can have reached the service or the service itself refused it; any
//! other failure of a transaction is [`Outcome::Unknown`]. A failed read changes nothing, so it is always
//! `Unavailable`.

use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::call::Address;
use crate::call::Call;
use crate::call::Outcome;
use crate::call::Row;
use crate::call::Transaction;

/// Maximum size of an answer in bytes; a call with a larger one fails.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of a table service and its object store.
#[derive(Clone, Debug)]
pub struct Driver {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeout: Duration,
}

/// Why a call has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// No byte of the call was sent.
    NotSent,
    /// The call was sent, but its answer was truncated, late or malformed.
    Lost,
}

/// A complete HTTP response.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Driver {
    /// Creates a client of the service at `address` (`IP:PORT`) with a timeout for each call.
    pub fn new(address: &str, timeout: Duration) -> Driver {
        // The pool retries a request only if its connection turned out to be closed before the first byte was
        // written, so it never repeats a transaction.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        Driver {
            client,
            base: format!("http://{address}"),
            timeout,
        }
    }

    /// Makes one call; every failure is an [`Outcome`].
    pub async fn call(&self, call: &Call) -> Outcome {
        match call {
            Call::Get { address } => self.get(address).await,
            Call::Scan {
                table,
                prefix,
                after,
                limit,
            } => {
                let path = format!(
                    "/tables/{}/rows?prefix={}&after={}&limit={limit}",
                    escape(table),
                    escape(prefix),
                    escape(after)
                );
                self.scan(&path).await
            }
            Call::Transact(transaction) => self.transact(transaction).await,
        }
    }

    /// Stores an object; idempotent for the same bytes.
    pub async fn put_object(&self, key: &str, body: Bytes) -> anyhow::Result<()> {
        let path = format!("/objects/{}", escape(key));
        match self.exchange(Method::PUT, &path, body).await {
            Ok(answer) if answer.status.is_success() => Ok(()),
            Ok(answer) => bail!("object store answered {}", answer.status),
            Err(failure) => bail!("no answer from the object store: {failure:?}"),
        }
    }

    /// Reads an object; returns `None` if it doesn't exist.
    pub async fn get_object(&self, key: &str) -> anyhow::Result<Option<Bytes>> {
        let path = format!("/objects/{}", escape(key));
        match self.exchange(Method::GET, &path, Bytes::new()).await {
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => Ok(None),
            Ok(answer) if answer.status.is_success() => Ok(Some(answer.body)),
            Ok(answer) => bail!("object store answered {}", answer.status),
            Err(failure) => bail!("no answer from the object store: {failure:?}"),
        }
    }

    async fn get(&self, address: &Address) -> Outcome {
        let path = format!(
            "/tables/{}/rows/{}",
            escape(&address.table),
            escape(&address.key)
        );
        let Ok(answer) = self.exchange(Method::GET, &path, Bytes::new()).await else {
            return Outcome::Unavailable;
        };
        match answer.status {
            StatusCode::NOT_FOUND => Outcome::Row(None),
            StatusCode::OK => match serde_json::from_slice::<Row>(&answer.body) {
                Ok(row) => Outcome::Row(Some(row)),
                Err(_) => Outcome::Unavailable,
            },
            _ => Outcome::Unavailable,
        }
    }

    async fn scan(&self, path: &str) -> Outcome {
        let Ok(answer) = self.exchange(Method::GET, path, Bytes::new()).await else {
            return Outcome::Unavailable;
        };
        if answer.status != StatusCode::OK {
            return Outcome::Unavailable;
        }
        match serde_json::from_slice::<Page>(&answer.body) {
            Ok(page) => Outcome::Rows {
                rows: page.rows,
                more: page.more,
                revision: 0,
            },
            Err(_) => Outcome::Unavailable,
        }
    }

    async fn transact(&self, transaction: &Transaction) -> Outcome {
        let Ok(body) = serde_json::to_vec(transaction) else {
            return Outcome::Unavailable;
        };
        let answer = self
            .exchange(Method::POST, "/transact", Bytes::from(body))
            .await;
        match answer {
            Ok(answer) => transaction_outcome(&answer),
            Err(Failure::NotSent) => Outcome::Unavailable,
            Err(Failure::Lost) => Outcome::Unknown,
        }
    }

    /// Sends a request and reads its complete response within the timeout.
    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| Failure::NotSent)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    Failure::NotSent
                } else {
                    Failure::Lost
                }
            })?;
            read_body(response).await.map_err(|_| Failure::Lost)
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Lost),
        }
    }
}

/// Response body of a scan.
#[derive(Deserialize)]
struct Page {
    rows: Vec<Row>,
    more: bool,
}

/// Response body of a committed transaction.
#[derive(Deserialize)]
struct Commit {
    revision: u64,
}

/// Response body of a transaction with failed checks.
#[derive(Deserialize)]
struct Refused {
    failed: Vec<Failed>,
}

/// A check that did not hold.
#[derive(Deserialize)]
struct Failed {
    table: SmolStr,
    key: SmolStr,
    row: Option<Row>,
}

/// Reads the complete response body, up to [`MAX_ANSWER_BYTES`].
async fn read_body(response: Response<Incoming>) -> anyhow::Result<Answer> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| anyhow::anyhow!(error))
        .context("reading the answer")?
        .to_bytes();
    Ok(Answer { status, body })
}

/// Converts the response to a transaction.
///
/// A client error (4xx) means that the service refused the call. Any other unreadable response, such as a
/// gateway's 502, leaves open whether the transaction committed.
fn transaction_outcome(answer: &Answer) -> Outcome {
    match answer.status {
        StatusCode::OK => match serde_json::from_slice::<Commit>(&answer.body) {
            Ok(commit) => Outcome::Committed(commit.revision),
            Err(_) => Outcome::Unknown,
        },
        StatusCode::CONFLICT => match serde_json::from_slice::<Refused>(&answer.body) {
            Ok(refused) => Outcome::Conflict(refused.failed.into_iter().map(failed_row).collect()),
            Err(_) => Outcome::Unavailable,
        },
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Unavailable,
        StatusCode::REQUEST_TIMEOUT => Outcome::Unknown,
        status if status.is_client_error() => Outcome::Unavailable,
        _ => Outcome::Unknown,
    }
}

/// Converts a failed check for [`Outcome::Conflict`].
fn failed_row(failed: Failed) -> (Address, Option<Row>) {
    let address = Address {
        table: failed.table,
        key: failed.key,
    };
    (address, failed.row)
}

/// Percent-encodes everything but unreserved characters, so that a key is a single path segment.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

//! Carries calls to the platform over HTTP.
//!
//! What an outcome may claim decides whether a writer may try again. "Nothing happened"
//! ([`Outcome::Unavailable`]) is said only where no byte of a transaction can have reached the
//! service or the service said so itself; every other failure of a transaction is
//! [`Outcome::Unknown`]. A read that failed changed nothing, so it is always `Unavailable`.

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

/// Largest answer that is read; a row or object beyond it counts as a failed call.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of one table service and object store.
#[derive(Clone, Debug)]
pub struct Driver {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    timeout: Duration,
}

/// Why no usable answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// No byte of the call was sent.
    NotSent,
    /// The call was sent; its answer was cut, late or malformed.
    Lost,
}

/// A whole answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Driver {
    /// A client of the service at `address` (`IP:PORT`) that waits `timeout` for each answer.
    pub fn new(address: &str, timeout: Duration) -> Driver {
        // The pool sends a request again by itself only if its connection was found closed before
        // the first byte was written, so this never repeats a transaction.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        Driver {
            client,
            base: format!("http://{address}"),
            timeout,
        }
    }

    /// Makes one call. Never fails otherwise than by its outcome.
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

    /// Stores an object; writing the same bytes again does no harm.
    pub async fn put_object(&self, key: &str, body: Bytes) -> anyhow::Result<()> {
        let path = format!("/objects/{}", escape(key));
        match self.exchange(Method::PUT, &path, body).await {
            Ok(answer) if answer.status.is_success() => Ok(()),
            Ok(answer) => bail!("object store answered {}", answer.status),
            Err(failure) => bail!("no answer from the object store: {failure:?}"),
        }
    }

    /// Reads an object, if there is one.
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

    /// One request and its whole answer within the timeout.
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

/// The body of a scan's answer.
#[derive(Deserialize)]
struct Page {
    rows: Vec<Row>,
    more: bool,
}

/// The body of a committed transaction's answer.
#[derive(Deserialize)]
struct Commit {
    revision: u64,
}

/// The body of a refused transaction's answer.
#[derive(Deserialize)]
struct Refused {
    failed: Vec<Failed>,
}

/// One check that did not hold.
#[derive(Deserialize)]
struct Failed {
    table: SmolStr,
    key: SmolStr,
    row: Option<Row>,
}

/// Reads the whole body, up to the limit.
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

/// What the service's answer to a transaction says.
///
/// A client error (4xx) is the service's word that it refused the call; any other answer that can't
/// be read, a gateway's 502 for instance, says nothing of the effect.
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

/// The form of a failed check in an outcome.
fn failed_row(failed: Failed) -> (Address, Option<Row>) {
    let address = Address {
        table: failed.table,
        key: failed.key,
    };
    (address, failed.row)
}

/// Percent-encodes everything but unreserved characters, so that a key is one path segment.
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

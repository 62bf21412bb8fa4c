//! The HTTP client that all exchanges with backend servers share.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde_json::Value;
use smol_str::SmolStr;

use crate::failure::Failure;

/// The header by which a server says that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// Longest time for a connection to come about.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// A connection may fall silent without a word. One that waits long for an answer shows that only by
/// probes: the first after so long, and as long between them.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer after which the peer is gone.
const PROBES: u32 = 2;

/// Bytes unacknowledged for so long mean the same.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// How long an unused connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Most unused connections kept for each server.
const IDLE_CONNECTIONS: usize = 32;

/// Largest answer that is read whole.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to backend servers by IP number.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An exchange to be made.
#[derive(Clone, Debug)]
pub struct Exchange<'a> {
    /// `host:port` of the server.
    pub address: &'a str,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides the usual ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Longest time until the head of the answer.
    pub head_timeout: Duration,
}

impl HttpClient {
    /// A client without connections.
    ///
    /// It never sends a request a second time by itself: only the reducer decides that, because a
    /// request that may have run must not be repeated in silence.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIME));
        connector.set_keepalive(Some(PROBE_TIME));
        connector.set_keepalive_interval(Some(PROBE_TIME));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIME)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&self, exchange: Exchange<'_>) -> Result<Response<Incoming>, Failure> {
        let uri = format!("http://{}{}", exchange.address, exchange.path);
        let mut request = Request::builder()
            .method(exchange.method)
            .uri(uri)
            .body(Full::new(exchange.body))
            .map_err(|_| Failure::NotSent)?;
        request.headers_mut().extend(exchange.headers);
        let sending = self.client.request(request);
        let response = match tokio::time::timeout(exchange.head_timeout, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(classify(&error)),
            Err(_) => return Err(Failure::TimedOut),
        };
        let said_not_started = response.status() == StatusCode::SERVICE_UNAVAILABLE
            && response.headers().contains_key(NOT_STARTED_HEADER);
        if said_not_started {
            return Err(Failure::NotStarted);
        }
        Ok(response)
    }

    /// Sends a request and reads a successful answer whole.
    pub async fn fetch(&self, exchange: Exchange<'_>) -> Result<Bytes, Failure> {
        let head_timeout = exchange.head_timeout;
        let response = self.send(exchange).await?;
        let status = response.status();
        let bytes = read_body(response, head_timeout).await?;
        if status.is_success() {
            return Ok(bytes);
        }
        Err(Failure::Answered {
            status: status.as_u16(),
            message: SmolStr::from(status.canonical_reason().unwrap_or("error")),
        })
    }

    /// Sends a request and reads a successful answer as JSON.
    pub async fn fetch_json(&self, exchange: Exchange<'_>) -> Result<Value, Failure> {
        let bytes = self.fetch(exchange).await?;
        serde_json::from_slice(&bytes).map_err(|_| Failure::Answered {
            status: StatusCode::OK.as_u16(),
            message: SmolStr::new_static("the answer isn't JSON"),
        })
    }
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

impl<'a> Exchange<'a> {
    /// An exchange without headers and body.
    pub fn new(
        address: &'a str,
        method: Method,
        path: &'a str,
        head_timeout: Duration,
    ) -> Exchange<'a> {
        Exchange {
            address,
            method,
            path,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            head_timeout,
        }
    }

    /// The same exchange with a body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Exchange<'a> {
        self.body = body.into();
        self
    }
}

/// Reads an answer's body within time and size.
pub async fn read_body(response: Response<Incoming>, time: Duration) -> Result<Bytes, Failure> {
    let reading = Limited::new(response.into_body(), ANSWER_BYTES).collect();
    match tokio::time::timeout(time, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(Failure::Broken),
        Err(_) => Err(Failure::TimedOut),
    }
}

/// Tells a request that never left from one that may have arrived.
fn classify(error: &Error) -> Failure {
    if error.is_connect() {
        return Failure::NotSent;
    }
    Failure::Broken
}

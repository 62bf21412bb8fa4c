//! Shared HTTP client for all exchanges with backend servers.

use std::error::Error as _;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use clock::Span;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use intake::answers::Answers;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::failure::Failure;
use crate::witness::Witness;

/// Header by which a server reports that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// Timeout for establishing a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time before the first TCP keepalive probe, and between probes. Only probes detect a connection that
/// died silently while it waits for a response.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the peer counts as dead.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// Time after which a peer that doesn't acknowledge sent bytes counts as dead.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long an idle connection is kept.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Most idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Largest answer to a caller, and largest exported KV cache, bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Largest report that is read whole unless the exchange sets another limit, bytes. Sound engines send a few kilobytes.
const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;

/// Largest response that is read only so that its connection can be reused, bytes.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Largest response head, bytes; also the size of read buffers. Sound servers send less than 8 KB.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most informational responses (1xx) before a response. Sound servers send one or two; the HTTP library reads
/// any number of them.
const MAX_INFORMATIONAL: usize = 16;

/// Sends requests to backend servers by IP address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One HTTP request to a backend server.
#[derive(Clone, Debug)]
pub struct Exchange<'a> {
    /// `host:port` of the server.
    pub address: &'a str,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Additional headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Timeout until the head of the response.
    pub head_timeout: Duration,
    /// Largest response that is read whole, bytes.
    pub max_bytes: usize,
}

impl HttpClient {
    /// Creates a client without connections.
    ///
    /// It never resends a request on its own: only the reducer decides that, because a request that may
    /// have run must not be repeated silently.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(MAX_KEEPALIVE_PROBES));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&self, exchange: Exchange<'_>) -> Result<Response<Incoming>, Failure> {
        let uri = format!("http://{}{}", exchange.address, exchange.path);
        let mut request = Request::builder()
            .method(exchange.method)
            .uri(uri)
            .body(Full::new(exchange.body))
            .map_err(|_| Failure::NotSent)?;
        request.headers_mut().extend(exchange.headers);
        let exceeded = limit_informational(&mut request);
        let sending = async {
            tokio::select! {
                response = self.client.request(request) => response.map_err(|error| classify(&error)),
                () = exceeded.notified() => Err(Failure::Invalid),
            }
        };
        let sent = tokio::time::timeout(exchange.head_timeout, sending).await;
        let response = sent.unwrap_or(Err(Failure::TimedOut))?;
        let not_started = response.status() == StatusCode::SERVICE_UNAVAILABLE
            && response.headers().contains_key(NOT_STARTED_HEADER);
        if not_started {
            let pause = requested_pause(response.headers());
            return Err(Failure::NotStarted { pause });
        }
        Ok(response)
    }

    /// Sends a request and returns the body of a successful response.
    pub async fn fetch(&self, exchange: Exchange<'_>) -> Result<Bytes, Failure> {
        let (address, head_timeout) = (exchange.address, exchange.head_timeout);
        let max_bytes = exchange.max_bytes;
        let response = self.send(exchange).await?;
        let status = response.status();
        if status.is_success() {
            let witness = Witness::summon(address, &response).await?;
            let body = read_body(response, head_timeout, max_bytes).await?;
            witness.confirm().await?;
            return Ok(body);
        }
        discard_body(response, head_timeout).await?;
        Err(Failure::Answered {
            status: status.as_u16(),
            message: SmolStr::from(status.canonical_reason().unwrap_or("error")),
        })
    }

    /// Sends a request and parses a successful response as JSON.
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
    /// Creates an exchange without headers and body.
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
            max_bytes: MAX_REPORT_BYTES,
        }
    }

    /// Sets the largest response that is read whole, bytes.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Exchange<'a> {
        self.max_bytes = max_bytes;
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Exchange<'a> {
        self.body = body.into();
        self
    }
}

/// Reads a response body of at most `limit` bytes within a time limit.
pub async fn read_body(
    response: Response<Incoming>,
    timeout: Duration,
    limit: usize,
) -> Result<Bytes, Failure> {
    // Parts are copied, since each small chunk would keep the buffer that it was read into.
    let mut collected = BytesMut::new();
    let reading = read_parts(response, limit, |part| {
        collected.extend_from_slice(&part);
    });
    let read = tokio::time::timeout(timeout, reading).await;
    read.unwrap_or(Err(Failure::TimedOut))?;
    Ok(collected.freeze())
}

/// Reads the body of an answer to a caller within limits of time and size, and of the room for all answers.
pub async fn read_answer(
    response: Response<Incoming>,
    timeout: Duration,
    answers: &Answers,
) -> Result<Bytes, Failure> {
    let reading = async {
        let mut body = response.into_body();
        let mut collector = answers.collector(MAX_RESPONSE_BYTES);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| classify_read(&error))?;
            if let Ok(part) = frame.into_data() {
                let pushed = collector.push(&part).await;
                pushed.map_err(|_| Failure::Invalid)?;
            }
        }
        Ok(collector.finish())
    };
    let read = tokio::time::timeout(timeout, reading).await;
    read.unwrap_or(Err(Failure::TimedOut))
}

/// Reads an unneeded response body within limits of time and size.
pub async fn discard_body(response: Response<Incoming>, timeout: Duration) -> Result<(), Failure> {
    let reading = read_parts(response, MAX_DISCARDED_BYTES, drop);
    let read = tokio::time::timeout(timeout, reading).await;
    read.unwrap_or(Err(Failure::TimedOut))
}

async fn read_parts(
    response: Response<Incoming>,
    limit: usize,
    mut take: impl FnMut(Bytes),
) -> Result<(), Failure> {
    let mut body = response.into_body();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| classify_read(&error))?;
        if let Ok(part) = frame.into_data() {
            size += part.len();
            if size > limit {
                return Err(Failure::Invalid);
            }
            take(part);
        }
    }
    Ok(())
}

/// Counts the informational responses to a request; the returned notification reports that there are too many.
fn limit_informational<T>(request: &mut Request<T>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let (notify, count) = (Arc::clone(&exceeded), AtomicUsize::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    exceeded
}

/// Returns the pause that a refusal asks for in seconds; `None` for other values, such as dates.
pub fn requested_pause(headers: &HeaderMap) -> Option<Span> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    let valid = seconds.is_finite() && seconds > 0.0;
    valid.then(|| Span::from_millis((seconds * 1_000.0).ceil() as u64))
}

/// Distinguishes a request that was never sent from one that may have arrived.
fn classify(error: &Error) -> Failure {
    if error.is_connect() {
        return Failure::NotSent;
    }
    match error.source().and_then(|source| source.downcast_ref()) {
        Some(error) => classify_read(error),
        None => Failure::Broken,
    }
}

/// Distinguishes a connection that broke from a server that sent what is no answer.
pub fn classify_read(error: &hyper::Error) -> Failure {
    let source = error.source().and_then(|source| source.downcast_ref());
    let is_invalid = matches!(
        source.map(std::io::Error::kind),
        Some(std::io::ErrorKind::InvalidData | std::io::ErrorKind::InvalidInput)
    );
    match error.is_parse() || is_invalid {
        true => Failure::Invalid,
        false => Failure::Broken,
    }
}

//! HTTP exchanges with entries and the mapping of their failures.

use std::time::Duration;

use bytes::Bytes;
use clock::Span;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Verdict;

use crate::error::Error;
use crate::error::Kind;

/// Header with the caller's key for a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with a ticket from an address response.
pub const TICKET: &str = "x-dogwoodspur-ticket";
/// Header with the resume token of a stream.
pub const RESUME: &str = "x-dogwoodspur-resume";
/// Header with the offset of the next chunk of a resumed stream.
pub const OFFSET: &str = "x-dogwoodspur-offset";
/// Header with the request id.
pub const REQUEST: &str = "x-dogwoodspur-request";
/// Header with the verdict.
pub const VERDICT: &str = "x-dogwoodspur-verdict";

/// Largest response body that is read whole, bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How long an idle connection is kept.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pool of connections to entries.
#[derive(Clone)]
pub struct Transport {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    key: SmolStr,
    idle_timeout: Duration,
}

impl Transport {
    /// Creates a transport without connections.
    pub fn new(key: SmolStr, connect_timeout: Span, idle_timeout: Span) -> Transport {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout.as_duration()));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            // Only the `retry` module may resend a request: it knows whether that is safe.
            .retry_canceled_requests(false)
            .build(connector);
        Transport {
            http,
            key,
            idle_timeout: idle_timeout.as_duration(),
        }
    }

    /// Sends a request and returns the head of the response.
    pub async fn send(
        &self,
        address: &str,
        request: http::request::Builder,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = self.build_request(address, request, path, body)?;
        let sent = tokio::time::timeout(self.idle_timeout, self.http.request(request)).await;
        match sent {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Error::new(
                Verdict::NotRun,
                Kind::Unreachable,
                "no connection to the entry",
            )),
            Ok(Err(_)) => Err(connection_lost(
                "the connection was lost before the response",
            )),
            Err(_) => Err(connection_lost("no response within the timeout")),
        }
    }

    /// Reads the whole body of a response.
    pub async fn read(&self, response: Response<Incoming>) -> Result<Bytes, Error> {
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        match tokio::time::timeout(self.idle_timeout, body).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            _ => Err(connection_lost(
                "the connection was lost within the response",
            )),
        }
    }

    /// Returns the next bytes of a streamed response, or none at its end.
    pub async fn next(&self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = tokio::time::timeout(self.idle_timeout, body.frame()).await;
            match frame {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                _ => return Err(connection_lost("the connection was lost within the stream")),
            }
        }
    }

    fn build_request(
        &self,
        address: &str,
        builder: http::request::Builder,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut builder = builder.uri(format!("http://{address}{path}"));
        if !self.key.is_empty() {
            builder = builder.header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        }
        let request = builder.body(Full::new(body));
        request.map_err(|error| Error::new(Verdict::NotRun, Kind::Request, error.to_string()))
    }
}

/// Body of a refusal.
#[derive(Debug, Deserialize)]
struct Body {
    error: Detail,
}

/// Details of a refusal.
#[derive(Debug, Deserialize)]
struct Detail {
    reason: Reason,
    verdict: Verdict,
    #[serde(default)]
    message: SmolStr,
    #[serde(default)]
    retry_after_ms: Option<u64>,
    #[serde(default)]
    request: SmolStr,
}

/// Parses the body of a refusal; an unreadable one yields the most cautious verdict.
pub fn parse_refusal(bytes: &[u8]) -> Error {
    let Ok(body) = serde_json::from_slice::<Body>(bytes) else {
        return Error::new(
            Verdict::MayHaveRun,
            Kind::Protocol,
            "the refusal is malformed",
        );
    };
    let detail = body.error;
    Error {
        verdict: detail.verdict,
        kind: Kind::Refused(detail.reason),
        retry_after: detail.retry_after_ms.map(Span::from_millis),
        message: detail.message,
        request: detail.request,
    }
}

/// Returns a header as text; empty if it is missing or not text.
pub fn header_text(headers: &HeaderMap, name: &str) -> SmolStr {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.map(SmolStr::from).unwrap_or_default()
}

fn connection_lost(message: &str) -> Error {
    Error::new(Verdict::MayHaveRun, Kind::ConnectionLost, message)
}

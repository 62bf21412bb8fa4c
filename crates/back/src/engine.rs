//! Client of a model engine.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Response;
use hyper::body::Incoming;
use request::id::Stream;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::events::Events;
use crate::failure::Failure;
use crate::http_client::Exchange;
use crate::http_client::HttpClient;
use crate::http_client::MAX_RESPONSE_BYTES;
use crate::http_client::discard_body;

/// Timeout of short exchanges such as load, state and cancel.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a KV cache export or import.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout until an engine starts to respond, including the wait in its own queue.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Load report of an engine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Load {
    /// Running sequences.
    pub running: u32,
    /// Waiting sequences.
    pub waiting: u32,
    /// Share of KV memory in use.
    pub kv_used: f64,
    /// Age of the report, milliseconds.
    #[serde(default)]
    pub as_of_ms: u64,
}

/// Event for a prefix stored in, or evicted from, an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a number that is skipped was never published.
    pub seq: u64,
    /// Whether the engine now holds the prefix.
    pub stored: bool,
    /// Hexadecimal hash of the prefix.
    pub prefix: SmolStr,
}

/// Desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Base model.
    pub model: SmolStr,
    /// Adapter; empty for none.
    pub adapter: SmolStr,
    /// Version of model and adapter.
    pub version: SmolStr,
    /// Role: `serve` or `idle`.
    pub role: SmolStr,
}

/// Actual state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct State {
    /// Target of the last order.
    pub target: Target,
    /// Whether the target is loaded.
    pub loaded: bool,
    /// Highest fencing number seen.
    #[serde(default)]
    pub fence: u64,
}

/// Client of the engine at one address.
#[derive(Clone, Debug)]
pub struct Engine<'a> {
    client: &'a HttpClient,
    address: &'a str,
}

impl<'a> Engine<'a> {
    /// Creates a client of the engine at `address`.
    pub fn new(client: &'a HttpClient, address: &'a str) -> Engine<'a> {
        Engine { client, address }
    }

    /// Starts a stream.
    pub async fn start(
        &self,
        stream: Stream,
        priority: u8,
        body: Bytes,
    ) -> Result<Events, Failure> {
        let mut exchange = Exchange::new(
            self.address,
            Method::POST,
            "/v1/chat/completions",
            START_TIMEOUT,
        )
        .with_body(body);
        if let Ok(name) = HeaderValue::from_str(&stream.to_string()) {
            exchange.headers.insert("x-stream", name);
        }
        exchange
            .headers
            .insert("x-priority", HeaderValue::from(u16::from(priority)));
        let response = self.client.send(exchange).await?;
        read_events(response).await
    }

    /// Resumes a stream from `offset`.
    pub async fn resume(&self, stream: Stream, offset: u64) -> Result<Events, Failure> {
        let path = format!("/v1/streams/{stream}?offset={offset}");
        let exchange = Exchange::new(self.address, Method::GET, &path, START_TIMEOUT);
        read_events(self.client.send(exchange).await?).await
    }

    /// Cancels a stream.
    pub async fn cancel(&self, stream: Stream) -> Result<(), Failure> {
        let path = format!("/v1/streams/{stream}");
        let exchange = Exchange::new(self.address, Method::DELETE, &path, SHORT_TIMEOUT);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// Parks a stream and exports its KV cache and state.
    pub async fn export(&self, stream: Stream) -> Result<Bytes, Failure> {
        let path = format!("/v1/streams/{stream}/export");
        let exchange = Exchange::new(self.address, Method::POST, &path, TRANSFER_TIMEOUT)
            .with_max_bytes(MAX_RESPONSE_BYTES);
        self.client.fetch(exchange).await
    }

    /// Imports and parks a stream that another engine exported.
    pub async fn import(&self, stream: Stream, exported: Bytes) -> Result<(), Failure> {
        let path = format!("/v1/streams/{stream}/import");
        let exchange =
            Exchange::new(self.address, Method::POST, &path, TRANSFER_TIMEOUT).with_body(exported);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// Fetches the load report.
    pub async fn load(&self) -> Result<Load, Failure> {
        let exchange = Exchange::new(self.address, Method::GET, "/v1/load", SHORT_TIMEOUT);
        let value = self.client.fetch_json(exchange).await?;
        serde_json::from_value(value).map_err(|_| Failure::Answered {
            status: 200,
            message: SmolStr::new_static("the load report has another shape"),
        })
    }

    /// Fetches cache events after `seq`; they are delayed and may have gaps.
    pub async fn cache_events(&self, seq: u64) -> Result<Vec<CacheEvent>, Failure> {
        let path = format!("/v1/cache-events?after={seq}");
        let exchange = Exchange::new(self.address, Method::GET, &path, SHORT_TIMEOUT);
        let mut value = self.client.fetch_json(exchange).await?;
        serde_json::from_value(value["events"].take()).map_err(|_| Failure::Answered {
            status: 200,
            message: SmolStr::new_static("the cache events have another shape"),
        })
    }

    /// Orders the engine to reach `target`, protected by a fencing number.
    pub async fn order(&self, fence: u64, target: &Target) -> Result<(), Failure> {
        let body = json!({"fence": fence, "target": target}).to_string();
        let exchange =
            Exchange::new(self.address, Method::POST, "/v1/orders", SHORT_TIMEOUT).with_body(body);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// Fetches the state of the engine.
    pub async fn state(&self) -> Result<State, Failure> {
        let exchange = Exchange::new(self.address, Method::GET, "/v1/state", SHORT_TIMEOUT);
        let value = self.client.fetch_json(exchange).await?;
        serde_json::from_value(value).map_err(|_| Failure::Answered {
            status: 200,
            message: SmolStr::new_static("the engine's state has another shape"),
        })
    }
}

/// Returns the events of a successful response, or its status as a failure.
async fn read_events(response: Response<Incoming>) -> Result<Events, Failure> {
    let status = response.status();
    if status.is_success() {
        return Ok(Events::new(response.into_body()));
    }
    discard_body(response, SHORT_TIMEOUT).await?;
    Err(Failure::Answered {
        status: status.as_u16(),
        message: SmolStr::from(status.canonical_reason().unwrap_or("error")),
    })
}

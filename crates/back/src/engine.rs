//! Exchanges with a model engine.

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
use crate::http_client::read_body;

/// Longest time for short exchanges: load, state, cancel.
const SHORT_TIME: Duration = Duration::from_secs(2);

/// Longest time for KV to be exported or imported.
const TRANSFER_TIME: Duration = Duration::from_secs(20);

/// Longest time until an engine begins to answer. Waiting in the engine's own queue counts.
const START_TIME: Duration = Duration::from_secs(120);

/// What an engine reports of its load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Load {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// Share of KV memory in use.
    pub kv_used: f64,
    /// Age of the report, milliseconds.
    #[serde(default)]
    pub as_of_ms: u64,
}

/// An engine's word that it holds a prefix, or no longer does.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Rises with each event; one that is skipped was never published.
    pub seq: u64,
    /// Whether it holds the prefix now.
    pub stored: bool,
    /// Hash of the prefix, hexadecimal.
    pub prefix: SmolStr,
}

/// What an engine is ordered to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Base model.
    pub model: SmolStr,
    /// Adapter, empty for none.
    pub adapter: SmolStr,
    /// Version of both.
    pub version: SmolStr,
    /// Role: `serve` or `idle`.
    pub role: SmolStr,
}

/// What an engine says that it is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct State {
    /// What it was last ordered to be.
    pub target: Target,
    /// Whether it has become that.
    pub loaded: bool,
    /// The highest fencing number that it has seen.
    #[serde(default)]
    pub fence: u64,
}

/// The engine at one address.
#[derive(Clone, Debug)]
pub struct Engine<'a> {
    client: &'a HttpClient,
    address: &'a str,
}

impl<'a> Engine<'a> {
    /// The engine at `address`.
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
            START_TIME,
        )
        .with_body(body);
        if let Ok(name) = HeaderValue::from_str(&stream.to_string()) {
            exchange.headers.insert("x-stream", name);
        }
        exchange
            .headers
            .insert("x-priority", HeaderValue::from(u16::from(priority)));
        let response = self.client.send(exchange).await?;
        events_of(response).await
    }

    /// Reads a stream again from `offset` on.
    pub async fn resume(&self, stream: Stream, offset: u64) -> Result<Events, Failure> {
        let path = format!("/v1/streams/{stream}?offset={offset}");
        let exchange = Exchange::new(self.address, Method::GET, &path, START_TIME);
        events_of(self.client.send(exchange).await?).await
    }

    /// Stops a stream.
    pub async fn cancel(&self, stream: Stream) -> Result<(), Failure> {
        let path = format!("/v1/streams/{stream}");
        let exchange = Exchange::new(self.address, Method::DELETE, &path, SHORT_TIME);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// Parks a stream and takes its KV cache and state.
    pub async fn export(&self, stream: Stream) -> Result<Bytes, Failure> {
        let path = format!("/v1/streams/{stream}/export");
        let exchange = Exchange::new(self.address, Method::POST, &path, TRANSFER_TIME);
        self.client.fetch(exchange).await
    }

    /// Parks a stream here from what another engine exported.
    pub async fn import(&self, stream: Stream, blob: Bytes) -> Result<(), Failure> {
        let path = format!("/v1/streams/{stream}/import");
        let exchange =
            Exchange::new(self.address, Method::POST, &path, TRANSFER_TIME).with_body(blob);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// The engine's own report of its load.
    pub async fn load(&self) -> Result<Load, Failure> {
        let exchange = Exchange::new(self.address, Method::GET, "/v1/load", SHORT_TIME);
        let value = self.client.fetch_json(exchange).await?;
        serde_json::from_value(value).map_err(|_| Failure::Answered {
            status: 200,
            message: SmolStr::new_static("the load report has another shape"),
        })
    }

    /// Cache events after `seq`; they come late and with gaps.
    pub async fn cache_events(&self, seq: u64) -> Result<Vec<CacheEvent>, Failure> {
        let path = format!("/v1/cache-events?after={seq}");
        let exchange = Exchange::new(self.address, Method::GET, &path, SHORT_TIME);
        let mut value = self.client.fetch_json(exchange).await?;
        serde_json::from_value(value["events"].take()).map_err(|_| Failure::Answered {
            status: 200,
            message: SmolStr::new_static("the cache events have another shape"),
        })
    }

    /// Orders the engine to become `target`, under a fencing number.
    pub async fn order(&self, fence: u64, target: &Target) -> Result<(), Failure> {
        let body = json!({"fence": fence, "target": target}).to_string();
        let exchange =
            Exchange::new(self.address, Method::POST, "/v1/orders", SHORT_TIME).with_body(body);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// What the engine is.
    pub async fn state(&self) -> Result<State, Failure> {
        let exchange = Exchange::new(self.address, Method::GET, "/v1/state", SHORT_TIME);
        let value = self.client.fetch_json(exchange).await?;
        serde_json::from_value(value).map_err(|_| Failure::Answered {
            status: 200,
            message: SmolStr::new_static("the engine's state has another shape"),
        })
    }
}

/// The events of a successful answer.
async fn events_of(response: Response<Incoming>) -> Result<Events, Failure> {
    let status = response.status();
    if status.is_success() {
        return Ok(Events::new(response.into_body()));
    }
    read_body(response, SHORT_TIME).await?;
    Err(Failure::Answered {
        status: status.as_u16(),
        message: SmolStr::from(status.canonical_reason().unwrap_or("error")),
    })
}

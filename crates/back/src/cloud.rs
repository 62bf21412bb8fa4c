//! Client of the cloud API and its instance list.

use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

use crate::failure::Failure;
use crate::http_client::Exchange;
use crate::http_client::HttpClient;

/// Timeout of a cloud response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest list, bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// One instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Instance {
    /// Id of the instance.
    pub id: SmolStr,
    /// Globally unique id of this run of the instance.
    pub incarnation: SmolStr,
    /// `host:port` of its server.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    #[serde(default)]
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    #[serde(default)]
    pub market: SmolStr,
    /// Pool of the instance.
    pub pool: SmolStr,
    /// `engine`, `service` or `entry`.
    #[serde(default)]
    pub kind: SmolStr,
    /// `live` or `leaving`.
    pub state: SmolStr,
}

/// Reclaim notice of the cloud for an instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Notice {
    /// Sequence number; increases by one with each notice.
    pub seq: u64,
    /// Incarnation to be reclaimed.
    pub incarnation: SmolStr,
    /// Time until the reclaim when the response was created, milliseconds.
    pub deadline_ms: u64,
}

/// Request to launch an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LaunchRequest {
    /// Idempotency token: a retry under the same token launches nothing more.
    pub token: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    pub market: SmolStr,
    /// Pool of the instance.
    pub pool: SmolStr,
}

/// Price of an instance type.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Price {
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    pub market: SmolStr,
    /// Price per hour.
    pub per_hour: f64,
}

/// Client of the cloud at one address.
#[derive(Clone, Debug)]
pub struct Cloud<'a> {
    client: &'a HttpClient,
    address: &'a str,
}

impl<'a> Cloud<'a> {
    /// Creates a client of the cloud at `address`.
    pub fn new(client: &'a HttpClient, address: &'a str) -> Cloud<'a> {
        Cloud { client, address }
    }

    /// Lists the instances; the list is eventually consistent.
    pub async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        self.list("/instances", "instances").await
    }

    /// Lists the reclaim notices after `seq`.
    pub async fn notices(&self, seq: u64) -> Result<Vec<Notice>, Failure> {
        self.list(&format!("/notices?after={seq}"), "notices").await
    }

    /// Lists prices by zone, class and market.
    pub async fn prices(&self) -> Result<Vec<Price>, Failure> {
        self.list("/cloud/prices", "prices").await
    }

    /// Launches an instance.
    pub async fn start(&self, request: &LaunchRequest) -> Result<Instance, Failure> {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let exchange = Exchange::new(
            self.address,
            Method::POST,
            "/cloud/instances",
            RESPONSE_TIMEOUT,
        )
        .with_body(body);
        deserialize(self.client.fetch_json(exchange).await?)
    }

    /// Terminates an instance.
    pub async fn stop(&self, id: &str) -> Result<(), Failure> {
        let path = format!("/cloud/instances/{id}");
        let exchange = Exchange::new(self.address, Method::DELETE, &path, RESPONSE_TIMEOUT);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// Fetches one list.
    async fn list<T: DeserializeOwned>(&self, path: &str, field: &str) -> Result<Vec<T>, Failure> {
        let exchange = Exchange::new(self.address, Method::GET, path, RESPONSE_TIMEOUT)
            .with_max_bytes(MAX_LIST_BYTES);
        let mut value = self.client.fetch_json(exchange).await?;
        deserialize(value[field].take())
    }
}

/// Deserializes a value of the expected shape.
fn deserialize<T: DeserializeOwned>(value: Value) -> Result<T, Failure> {
    serde_json::from_value(value).map_err(|_| Failure::Answered {
        status: 200,
        message: SmolStr::new_static("the cloud's answer has another shape"),
    })
}

//! The instance list and the cloud API.

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

/// Longest time for an answer of the cloud.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// One instance, as the list names it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Instance {
    /// Name of the machine.
    pub id: SmolStr,
    /// Name of this life of the machine, unique for ever.
    pub incarnation: SmolStr,
    /// `host:port` of the server on it.
    pub address: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    #[serde(default)]
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    #[serde(default)]
    pub market: SmolStr,
    /// Pool it belongs to.
    pub pool: SmolStr,
    /// `engine`, `service` or `entry`.
    #[serde(default)]
    pub kind: SmolStr,
    /// `live` or `leaving`.
    pub state: SmolStr,
}

/// The cloud's word that an instance will be taken away.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Notice {
    /// Rises by one with each notice.
    pub seq: u64,
    /// Which life of which machine.
    pub incarnation: SmolStr,
    /// Milliseconds left when the answer was made.
    pub deadline_ms: u64,
}

/// A wish for an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LaunchRequest {
    /// Names the attempt; a repeat under the same token starts nothing more.
    pub token: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    pub market: SmolStr,
    /// Pool.
    pub pool: SmolStr,
}

/// What one hour of an instance costs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Price {
    /// Availability zone.
    pub zone: SmolStr,
    /// Machine class.
    pub class: SmolStr,
    /// `reclaimable` or `on-demand`.
    pub market: SmolStr,
    /// Price of an hour.
    pub per_hour: f64,
}

/// The cloud at one address.
#[derive(Clone, Debug)]
pub struct Cloud<'a> {
    client: &'a HttpClient,
    address: &'a str,
}

impl<'a> Cloud<'a> {
    /// The cloud at `address`.
    pub fn new(client: &'a HttpClient, address: &'a str) -> Cloud<'a> {
        Cloud { client, address }
    }

    /// The list of instances; it lags behind reality.
    pub async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        self.list("/instances", "instances").await
    }

    /// Reclaim notices after `seq`.
    pub async fn notices(&self, seq: u64) -> Result<Vec<Notice>, Failure> {
        self.list(&format!("/notices?after={seq}"), "notices").await
    }

    /// Prices by zone, class and market.
    pub async fn prices(&self) -> Result<Vec<Price>, Failure> {
        self.list("/cloud/prices", "prices").await
    }

    /// Asks for an instance.
    pub async fn start(&self, request: &LaunchRequest) -> Result<Instance, Failure> {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let exchange = Exchange::new(self.address, Method::POST, "/cloud/instances", ANSWER_TIME)
            .with_body(body);
        read_as(self.client.fetch_json(exchange).await?)
    }

    /// Gives an instance back.
    pub async fn stop(&self, id: &str) -> Result<(), Failure> {
        let path = format!("/cloud/instances/{id}");
        let exchange = Exchange::new(self.address, Method::DELETE, &path, ANSWER_TIME);
        self.client.fetch(exchange).await.map(|_| ())
    }

    /// Reads one list.
    async fn list<T: DeserializeOwned>(&self, path: &str, field: &str) -> Result<Vec<T>, Failure> {
        let exchange = Exchange::new(self.address, Method::GET, path, ANSWER_TIME);
        let mut value = self.client.fetch_json(exchange).await?;
        read_as(value[field].take())
    }
}

/// Reads a value of known shape.
fn read_as<T: DeserializeOwned>(value: Value) -> Result<T, Failure> {
    serde_json::from_value(value).map_err(|_| Failure::Answered {
        status: 200,
        message: SmolStr::new_static("the cloud's answer has another shape"),
    })
}

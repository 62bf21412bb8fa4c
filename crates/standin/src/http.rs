//! A small HTTP client for the control APIs of the components.

use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP client with a timeout per exchange.
#[derive(Clone)]
pub struct Http {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Http {
        let connector = HttpConnector::new();
        Http {
            inner: legacy::Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Http {
    /// Sends a GET request and parses the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> anyhow::Result<T> {
        let (status, bytes) = self.send(Method::GET, address, path, Bytes::new()).await?;
        if !status.is_success() {
            bail!("GET {address}{path}: {status}");
        }
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Sends JSON and returns the response body.
    pub async fn post(
        &self,
        address: &str,
        path: &str,
        value: &impl Serialize,
    ) -> anyhow::Result<Bytes> {
        let body = Bytes::from(serde_json::to_vec(value)?);
        let (status, bytes) = self.send(Method::POST, address, path, body).await?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes);
            bail!("POST {address}{path}: {status} {text}");
        }
        Ok(bytes)
    }

    /// Sends a request and returns status and body, whatever the status.
    pub async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let description = format!("{method} {address}{path}");
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))?;
        let exchange = async {
            let response = self.inner.request(request).await?;
            let status = response.status();
            let bytes = response.into_body().collect().await?.to_bytes();
            anyhow::Ok((status, bytes))
        };
        let result = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
        result
            .with_context(|| description.clone())?
            .context(description)
    }
}

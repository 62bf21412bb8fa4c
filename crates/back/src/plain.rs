//! Calls of a plain service.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use smol_str::SmolStr;

use crate::failure::Failure;
use crate::http_client::Exchange;
use crate::http_client::HttpClient;
use crate::http_client::read_body;

/// Longest time for a plain service to answer.
const ANSWER_TIME: Duration = Duration::from_secs(60);

/// Headers that belong to one connection.
const CONNECTION_HEADERS: [&str; 4] = ["connection", "keep-alive", "transfer-encoding", "upgrade"];

/// A call to pass on.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The service's whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Passes a call on to the service at `address` and reads its whole answer.
pub async fn call(client: &HttpClient, address: &str, call: Call) -> Result<Response, Failure> {
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| Failure::NotSent)?;
    let mut exchange = Exchange::new(address, method, &call.path, ANSWER_TIME).with_body(call.body);
    exchange.headers = call.headers;
    let response = client.send(exchange).await?;
    let status = response.status();
    let mut headers = response.headers().clone();
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    let body = read_body(response, ANSWER_TIME).await?;
    Ok(Response {
        status,
        headers,
        body,
    })
}

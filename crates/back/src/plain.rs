//! Client of plain services.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use intake::answers::Answers;
use smol_str::SmolStr;

use crate::failure::Failure;
use crate::http_client::Exchange;
use crate::http_client::HttpClient;
use crate::http_client::read_answer;
use crate::witness::Witness;

/// Timeout of a plain service's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Headers that belong to one connection and aren't forwarded.
const CONNECTION_HEADERS: [&str; 4] = ["connection", "keep-alive", "transfer-encoding", "upgrade"];

/// A call to forward.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// Complete response of the service.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Forwards a call to the service at `address` and reads its whole response.
pub async fn call(
    client: &HttpClient,
    address: &str,
    call: Call,
    answers: &Answers,
) -> Result<Response, Failure> {
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| Failure::NotSent)?;
    let mut exchange =
        Exchange::new(address, method, &call.path, RESPONSE_TIMEOUT).with_body(call.body);
    exchange.headers = call.headers;
    let response = client.send(exchange).await?;
    let status = response.status();
    let mut headers = response.headers().clone();
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    let witness = Witness::summon(address, &response).await?;
    let body = read_answer(response, RESPONSE_TIMEOUT, answers).await?;
    witness.confirm().await?;
    Ok(Response {
        status,
        headers,
        body,
    })
}

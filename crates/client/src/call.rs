//! Calls to plain services.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::Client;
use crate::client::Shared;
use crate::error::Error;
use crate::error::Kind;
use crate::retry::Policy;
use crate::transport;

/// One call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Deployment that serves the call.
    pub deployment: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service, starting with a slash.
    pub path: SmolStr,
    /// Request body.
    pub body: Bytes,
    /// Delivery guarantee.
    pub delivery: Delivery,
}

/// Delivery guarantee of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The call is idempotent and may run more than once.
    Idempotent,
    /// At most once, secured by a ticket that the client obtains.
    Ticket,
    /// At most once, secured by the caller's own idempotency key, which also spans several calls.
    Key(SmolStr),
}

/// Complete response of a service.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
    /// Id of the request at the entry.
    pub request: SmolStr,
}

impl Client {
    /// Calls a service; retries a non-idempotent call only if it did not run.
    pub async fn call(&self, call: &Call) -> Result<Response, Error> {
        let shared = &self.shared;
        let policy = match call.delivery {
            Delivery::Idempotent => Policy::Idempotent,
            Delivery::Ticket | Delivery::Key(_) => Policy::OnlyNotRun,
        };
        let mut attempts = shared.attempts(policy);
        loop {
            match attempt(shared, call).await {
                Ok(answer) => return Ok(answer),
                Err(error) => shared.wait_to_retry(&mut attempts, error).await?,
            }
        }
    }

    /// Cancels a request of this account by id.
    pub async fn cancel(&self, request: &str) -> Result<(), Error> {
        let shared = &self.shared;
        let address = shared.entry("").await?;
        let builder = Request::builder().method(Method::DELETE);
        let path = format!("/v1/requests/{request}");
        let response = shared
            .transport
            .send(&address, builder, &path, Bytes::new())
            .await?;
        if response.status().is_success() {
            return Ok(());
        }
        let bytes = shared.transport.read(response).await?;
        Err(transport::parse_refusal(&bytes))
    }
}

async fn attempt(shared: &Shared, call: &Call) -> Result<Response, Error> {
    let builder = Request::builder().method(call.method.clone());
    let (address, builder) = match &call.delivery {
        Delivery::Idempotent => (shared.entry("").await?, builder),
        Delivery::Key(key) => {
            let address = shared.entry("").await?;
            (
                address,
                builder.header(transport::IDEMPOTENCY_KEY, key.as_str()),
            )
        }
        Delivery::Ticket => {
            let ticket = shared.ticket().await?.ok_or_else(no_ticket)?;
            let builder = builder.header(transport::TICKET, ticket.text.as_str());
            (ticket.minter, builder)
        }
    };
    let path = format!("/services/{}{}", call.deployment, call.path);
    let sent = shared
        .transport
        .send(&address, builder, &path, call.body.clone())
        .await;
    let response = sent.inspect_err(|_| shared.mark_failed(&address))?;
    shared.mark_reachable(&address);
    read_response(shared, response).await
}

async fn read_response(
    shared: &Shared,
    response: http::Response<Incoming>,
) -> Result<Response, Error> {
    let status = response.status();
    let headers = response.headers().clone();
    let request = transport::header_text(&headers, transport::REQUEST);
    let verdict = Verdict::parse(&transport::header_text(&headers, transport::VERDICT));
    let body = shared.transport.read(response).await?;
    if verdict == Some(Verdict::Done) {
        return Ok(Response {
            status,
            headers,
            body,
            request,
        });
    }
    Err(transport::parse_refusal(&body))
}

fn no_ticket() -> Error {
    Error::new(
        Verdict::NotRun,
        Kind::Protocol,
        "no entry issued a ticket for a non-idempotent call",
    )
}

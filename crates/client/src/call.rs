//! Calls of plain services.

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

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The deployment that serves it.
    pub deployment: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service, from the first slash on.
    pub path: SmolStr,
    /// Body.
    pub body: Bytes,
    /// How often it may run.
    pub delivery: Delivery,
}

/// How often a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// More than once does no harm.
    Idempotent,
    /// At most once, by a ticket that the client takes.
    Ticket,
    /// At most once, by the caller's own key, which also holds over several calls.
    Key(SmolStr),
}

/// A whole answer of a service.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The request's id at the entry.
    pub request: SmolStr,
}

impl Client {
    /// Calls a service; a call that must not run twice is repeated only if it did not run.
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

    /// Cancels a request of this account by its id.
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
        Err(transport::refusal(&bytes))
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
    finish(shared, response).await
}

async fn finish(shared: &Shared, response: http::Response<Incoming>) -> Result<Response, Error> {
    let status = response.status();
    let headers = response.headers().clone();
    let request = transport::text(&headers, transport::REQUEST);
    let verdict = Verdict::parse(&transport::text(&headers, transport::VERDICT));
    let body = shared.transport.read(response).await?;
    if verdict == Some(Verdict::Done) {
        return Ok(Response {
            status,
            headers,
            body,
            request,
        });
    }
    Err(transport::refusal(&body))
}

fn no_ticket() -> Error {
    Error::new(
        Verdict::NotRun,
        Kind::Protocol,
        "no entry gave a ticket for a non-idempotent call",
    )
}

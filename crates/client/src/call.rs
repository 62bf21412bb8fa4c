//! Calls of plain services.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::Client;
use crate::client::Shared;
use crate::error::Error;
use crate::error::Kind;
use crate::retry::Repeat;
use crate::wire;

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
    pub once: Once,
}

/// How often a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Once {
    /// More than once does no harm.
    Idempotent,
    /// At most once, by a ticket that the client takes.
    Ticket,
    /// At most once, by the caller's own key, which also holds over several calls.
    Key(SmolStr),
}

/// A whole answer of a service.
#[derive(Clone, Debug)]
pub struct Answer {
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
    pub async fn call(&self, call: &Call) -> Result<Answer, Error> {
        let shared = &self.shared;
        let repeat = match call.once {
            Once::Idempotent => Repeat::Idempotent,
            Once::Ticket | Once::Key(_) => Repeat::OnlyNotRun,
        };
        let mut tries = shared.tries(repeat);
        loop {
            match attempt(shared, call).await {
                Ok(answer) => return Ok(answer),
                Err(error) => shared.after(&mut tries, error).await?,
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
            .wire
            .send(&address, builder, &path, Bytes::new())
            .await?;
        if response.status().is_success() {
            return Ok(());
        }
        let bytes = shared.wire.read(response).await?;
        Err(wire::refusal(&bytes))
    }
}

async fn attempt(shared: &Shared, call: &Call) -> Result<Answer, Error> {
    let builder = Request::builder().method(call.method.clone());
    let (address, builder) = match &call.once {
        Once::Idempotent => (shared.entry("").await?, builder),
        Once::Key(key) => {
            let address = shared.entry("").await?;
            (address, builder.header(wire::IDEMPOTENCY_KEY, key.as_str()))
        }
        Once::Ticket => {
            let ticket = shared.ticket().await?.ok_or_else(no_ticket)?;
            let builder = builder.header(wire::TICKET, ticket.text.as_str());
            (ticket.minter, builder)
        }
    };
    let path = format!("/services/{}{}", call.deployment, call.path);
    let sent = shared
        .wire
        .send(&address, builder, &path, call.body.clone())
        .await;
    let response = sent.inspect_err(|_| shared.shun(&address))?;
    shared.trust(&address);
    finish(shared, response).await
}

async fn finish(shared: &Shared, response: Response<Incoming>) -> Result<Answer, Error> {
    let status = response.status();
    let headers = response.headers().clone();
    let request = wire::text(&headers, wire::REQUEST);
    let verdict = Verdict::parse(&wire::text(&headers, wire::VERDICT));
    let body = shared.wire.read(response).await?;
    if verdict == Some(Verdict::Done) {
        return Ok(Answer {
            status,
            headers,
            body,
            request,
        });
    }
    Err(wire::refusal(&body))
}

fn no_ticket() -> Error {
    Error::new(
        Verdict::NotRun,
        Kind::Protocol,
        "no entry gave a ticket for a non-idempotent call",
    )
}

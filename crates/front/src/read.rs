//! Reads one HTTP request into a typed call, within the limits.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;

use crate::call::Call;
use crate::call::Credentials;
use crate::call::Plain;
use crate::chat::Chat;
use crate::configs::limit::Limit;
use crate::response::OFFSET_HEADER;
use crate::response::RESUME_HEADER;
use crate::response::TICKET_HEADER;

/// Headers that belong to one connection or to the entry and are never passed on.
const OWN_HEADERS: [&str; 8] = [
    "authorization",
    "connection",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Reads a request whole.
pub async fn read(
    request: Request<Incoming>,
    limit: &Limit,
) -> Result<(Credentials, Call), Refusal> {
    let (parts, body) = request.into_parts();
    let credentials = credentials_of(&parts.headers)?;
    let body = read_body(body, limit).await?;
    let call = call_of(parts, body)?;
    Ok((credentials, call))
}

/// What the headers say of the caller and its request.
fn credentials_of(headers: &HeaderMap) -> Result<Credentials, Refusal> {
    let offset = match text_of(headers, OFFSET_HEADER)? {
        Some(text) => text
            .parse()
            .map_err(|_| malformed("x-dogwoodspur-offset isn't a number"))?,
        None => 0,
    };
    let key = text_of(headers, header::AUTHORIZATION.as_str())?
        .and_then(|text| text.strip_prefix("Bearer ").map(SmolStr::from));
    Ok(Credentials {
        key,
        idempotency_key: text_of(headers, "idempotency-key")?,
        ticket: text_of(headers, TICKET_HEADER)?,
        resume: text_of(headers, RESUME_HEADER)?,
        offset,
    })
}

/// A header's text, if the header is there.
fn text_of(headers: &HeaderMap, name: &str) -> Result<Option<SmolStr>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(SmolStr::from(text))),
        Err(_) => Err(malformed(format!(
            "header {name} holds bytes that aren't text"
        ))),
    }
}

/// The whole body, or the reason why it wasn't taken.
async fn read_body(body: Incoming, limit: &Limit) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limit.body_bytes).collect();
    match tokio::time::timeout(limit.body_time.as_duration(), reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is longer than {} bytes", limit.body_bytes);
            Err(Refusal::not_run(Reason::TooLarge, message))
        }
        Ok(Err(_)) => Err(malformed("the body ended early")),
        Err(_) => Err(Refusal::not_run(
            Reason::TimedOut,
            "the body took too long to arrive",
        )),
    }
}

/// The call that a path and method name.
fn call_of(parts: Parts, body: Bytes) -> Result<Call, Refusal> {
    let path = parts.uri.path();
    if path == "/v1/addresses" && parts.method == Method::GET {
        let prefix = prefix_of(parts.uri.query())?;
        return Ok(Call::Addresses { prefix });
    }
    if path == "/v1/chat/completions" && parts.method == Method::POST {
        return Chat::read(body).map(Call::Model);
    }
    if let Some(request) = path.strip_prefix("/v1/requests/")
        && parts.method == Method::DELETE
    {
        let request = SmolStr::from(request);
        return Ok(Call::Cancel { request });
    }
    if path.starts_with("/services/") {
        return plain_of(parts, body).map(Call::Plain);
    }
    Err(Refusal::not_run(Reason::Unknown, "no such path"))
}

/// The prefix hash of an address question.
fn prefix_of(query: Option<&str>) -> Result<Option<u64>, Refusal> {
    let pairs = query.unwrap_or_default().split('&');
    let Some(text) = pairs.filter_map(|pair| pair.strip_prefix("key=")).next() else {
        return Ok(None);
    };
    u64::from_str_radix(text, 16)
        .map(Some)
        .map_err(|_| malformed("key isn't a hexadecimal number of up to 16 digits"))
}

/// A call of a plain service.
fn plain_of(parts: Parts, body: Bytes) -> Result<Plain, Refusal> {
    let rest = parts.uri.path().trim_start_matches("/services/");
    let (deployment, path) = match rest.split_once('/') {
        Some((deployment, path)) => (deployment, format!("/{path}")),
        None => (rest, String::from("/")),
    };
    if deployment.is_empty() {
        return Err(malformed("the path names no deployment"));
    }
    let path = match parts.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    Ok(Plain {
        deployment: SmolStr::from(deployment),
        method: SmolStr::from(parts.method.as_str()),
        path: SmolStr::from(path),
        headers: passed_on(parts.headers),
        body,
    })
}

/// The headers that a backend server gets to see.
fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(RESUME_HEADER);
    headers.remove(OFFSET_HEADER);
    headers.remove(TICKET_HEADER);
    headers
}

/// The refusal of something that can't be read.
fn malformed(message: impl Into<SmolStr>) -> Refusal {
    Refusal::not_run(Reason::Malformed, message)
}

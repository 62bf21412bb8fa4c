//! Reads HTTP requests into typed calls, within limits.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use intake::request;
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

/// Headers of the connection or of the entry itself, which are never forwarded.
const UNFORWARDED_HEADERS: [&str; 8] = [
    "authorization",
    "connection",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Reads a whole request.
pub async fn read(
    request: Request<Incoming>,
    received: &mut request::Request,
    limit: &Limit,
) -> Result<(Credentials, Call), Refusal> {
    let (parts, body) = request.into_parts();
    let credentials = read_credentials(&parts.headers)?;
    let body = received.receive(&parts, body, limit.body_bytes).await?;
    received.begin_running();
    let call = route(parts, body)?;
    Ok((credentials, call))
}

/// Reads the credentials from the headers.
fn read_credentials(headers: &HeaderMap) -> Result<Credentials, Refusal> {
    let offset = match header_text(headers, OFFSET_HEADER)? {
        Some(text) => text
            .parse()
            .map_err(|_| malformed("x-dogwoodspur-offset isn't a number"))?,
        None => 0,
    };
    let key = header_text(headers, header::AUTHORIZATION.as_str())?
        .and_then(|text| text.strip_prefix("Bearer ").map(SmolStr::from));
    Ok(Credentials {
        key,
        idempotency_key: header_text(headers, "idempotency-key")?,
        ticket: header_text(headers, TICKET_HEADER)?,
        resume: header_text(headers, RESUME_HEADER)?,
        offset,
    })
}

/// Returns a header as text, if present.
fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<SmolStr>, Refusal> {
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

/// Selects the call by path and method.
fn route(parts: Parts, body: Bytes) -> Result<Call, Refusal> {
    let path = parts.uri.path();
    if path == "/v1/addresses" && parts.method == Method::GET {
        let prefix = parse_prefix(parts.uri.query())?;
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
        return plain_call(parts, body).map(Call::Plain);
    }
    Err(Refusal::not_run(Reason::Unknown, "no such path"))
}

/// Parses the prefix hash of an address query.
fn parse_prefix(query: Option<&str>) -> Result<Option<u64>, Refusal> {
    let pairs = query.unwrap_or_default().split('&');
    let Some(text) = pairs.filter_map(|pair| pair.strip_prefix("key=")).next() else {
        return Ok(None);
    };
    u64::from_str_radix(text, 16)
        .map(Some)
        .map_err(|_| malformed("key isn't a hexadecimal number of up to 16 digits"))
}

/// Builds a call to a plain service.
fn plain_call(parts: Parts, body: Bytes) -> Result<Plain, Refusal> {
    let remainder = parts.uri.path().trim_start_matches("/services/");
    let (deployment, path) = match remainder.split_once('/') {
        Some((deployment, path)) => (deployment, format!("/{path}")),
        None => (remainder, String::from("/")),
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
        headers: forwarded_headers(parts.headers),
        body,
    })
}

/// Returns the headers to forward to the backend server.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in UNFORWARDED_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(RESUME_HEADER);
    headers.remove(OFFSET_HEADER);
    headers.remove(TICKET_HEADER);
    headers
}

/// Returns the refusal of a malformed request.
fn malformed(message: impl Into<SmolStr>) -> Refusal {
    Refusal::not_run(Reason::Malformed, message)
}

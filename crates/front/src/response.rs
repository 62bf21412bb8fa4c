//! HTTP responses: refusals, complete responses and event streams.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use serde_json::json;
use tokio::sync::mpsc;
use verdict::Reason;
use verdict::Refusal;
use verdict::Verdict;

/// Header with the request id.
pub const REQUEST_HEADER: &str = "x-dogwoodspur-request";
/// Header with the verdict.
pub const VERDICT_HEADER: &str = "x-dogwoodspur-verdict";
/// Header with the signed resume token.
pub const RESUME_HEADER: &str = "x-dogwoodspur-resume";
/// Header with the offset of the next chunk wanted.
pub const OFFSET_HEADER: &str = "x-dogwoodspur-offset";
/// Header with a signed ticket.
pub const TICKET_HEADER: &str = "x-dogwoodspur-ticket";
/// Header with the retry delay, milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "x-dogwoodspur-retry-after-ms";

/// Body of any response.
pub type Payload = UnsyncBoxBody<Bytes, Infallible>;

/// Creates a body from complete bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Payload {
    Full::new(bytes.into()).boxed_unsync()
}

/// Creates a body fed by a channel; it ends when the sender is dropped.
pub fn channel_body(receiver: mpsc::Receiver<Bytes>) -> Payload {
    ChannelBody { receiver }.boxed_unsync()
}

/// Returns a JSON response that belongs to no request.
pub fn json(value: &serde_json::Value) -> Response<Payload> {
    let mut response = Response::new(full_body(value.to_string()));
    set_header(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        "application/json",
    );
    response
}

/// Returns a response that streams events.
pub fn event_stream(
    request: &str,
    resume: &str,
    receiver: mpsc::Receiver<Bytes>,
) -> Response<Payload> {
    let mut response = Response::new(channel_body(receiver));
    set_header(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        "text/event-stream",
    );
    set_header(&mut response, header::CACHE_CONTROL.as_str(), "no-store");
    set_header(&mut response, REQUEST_HEADER, request);
    set_header(&mut response, RESUME_HEADER, resume);
    response
}

/// Marks a complete response with its request id and the verdict.
pub fn completed(request: &str, mut response: Response<Payload>) -> Response<Payload> {
    set_header(&mut response, REQUEST_HEADER, request);
    set_header(&mut response, VERDICT_HEADER, Verdict::Done.as_str());
    response
}

/// Returns a refusal as a response of its own.
pub fn refusal(request: &str, refusal: &Refusal) -> Response<Payload> {
    let mut response = Response::new(full_body(refusal_body(request, refusal)));
    *response.status_mut() = status_code(refusal);
    set_header(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        "application/json",
    );
    set_header(&mut response, REQUEST_HEADER, request);
    set_header(&mut response, VERDICT_HEADER, refusal.verdict.as_str());
    if refusal.reason == Reason::Leaving {
        // The caller must use another connection, to another entry, for its next request.
        set_header(&mut response, header::CONNECTION.as_str(), "close");
    }
    if let Some(span) = refusal.retry_after {
        let seconds = span.as_millis().div_ceil(1_000);
        set_header(
            &mut response,
            header::RETRY_AFTER.as_str(),
            &seconds.to_string(),
        );
        set_header(
            &mut response,
            RETRY_AFTER_MS_HEADER,
            &span.as_millis().to_string(),
        );
    }
    response
}

/// Formats the event of one chunk.
pub fn chunk_event(offset: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n"))
}

/// Formats the final event of a complete stream.
pub fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Formats the event that replaces the caller's resume token.
pub fn resume_event(token: &str) -> Bytes {
    let data = json!({ "token": token });
    Bytes::from(format!("event: resume\ndata: {data}\n\n"))
}

/// Formats the final event of a stream that continues at another entry.
pub fn continue_event(address: &str, token: &str) -> Bytes {
    let data = json!({"address": address, "token": token});
    Bytes::from(format!("event: continue\ndata: {data}\n\n"))
}

/// Formats the final event of a failed stream.
pub fn error_event(request: &str, refusal: &Refusal) -> Bytes {
    Bytes::from(format!(
        "event: error\ndata: {}\n\n",
        refusal_body(request, refusal)
    ))
}

/// Returns the JSON body of a refusal.
fn refusal_body(request: &str, refusal: &Refusal) -> String {
    let mut error = json!({
        "reason": refusal.reason.as_str(),
        "verdict": refusal.verdict.as_str(),
        "message": refusal.message.as_str(),
        "request": request,
    });
    if let Some(span) = refusal.retry_after {
        error["retry_after_ms"] = json!(span.as_millis());
    }
    json!({ "error": error }).to_string()
}

/// Returns the HTTP status of a refusal.
fn status_code(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::Malformed => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Forbidden => StatusCode::FORBIDDEN,
        Reason::Unknown => StatusCode::NOT_FOUND,
        Reason::OverLimit | Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::Repeated => StatusCode::CONFLICT,
        Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::BackendFailed => StatusCode::BAD_GATEWAY,
        Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Reason::Cancelled => StatusCode::GONE,
        Reason::NoBackend | Reason::Leaving | Reason::NotReady | Reason::StoreUnavailable => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Sets a header; skips a value that isn't valid in a header.
fn set_header(response: &mut Response<Payload>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Body that reads from a channel.
struct ChannelBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.receiver
            .poll_recv(context)
            .map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}

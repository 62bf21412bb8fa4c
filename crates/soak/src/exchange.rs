//! Connections of callers, and the exchange of a request and its answer on them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clock::Span;
use clock::Time;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use mirror::caller;
use mirror::caller::Addresses;
use mirror::caller::Continuation;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::content;
use crate::content::Stream;
use crate::environment::HOST;
use crate::ledger::End;
use crate::stall;
use crate::stall::Part;

/// Timeout of connection attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to an entry.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) task: AbortHandle,
    pub(crate) entry: SocketAddr,
    /// The caller's own address.
    pub(crate) local: Option<SocketAddr>,
    pub(crate) reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The part of a stream that a caller has received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Time of the first attempt.
    pub(crate) first_sent_at: Time,
    /// Id of the last event.
    pub(crate) last_event: u64,
    /// The software version that generated the first event.
    pub(crate) version: SmolStr,
    /// Id of the attempt that brought the first event.
    pub(crate) began_as: SmolStr,
}

impl Progress {
    /// Returns the time since the first attempt, if events were received.
    pub(crate) fn returns_after(&self, now: Time) -> Option<Span> {
        (self.last_event > 0).then(|| now.since(self.first_sent_at))
    }

    pub(crate) fn continuation(&self) -> Option<Continuation> {
        (self.last_event > 0).then(|| Continuation {
            last_event: self.last_event,
            began_as: self.began_as.clone(),
        })
    }
}

pub(crate) async fn connect(entry: SocketAddr) -> Option<Connection> {
    let connecting = TcpStream::connect(entry);
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let socket = socket.ok()?.ok()?;
    let local = socket.local_addr().ok();
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    let task = stall::spawn(Part::Callers, async move {
        // The request on this connection sees how it ended.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        task: task.abort_handle(),
        entry,
        local,
        reused: false,
    })
}

/// Queries an entry for the addresses of entries.
pub async fn query_addresses(directory: SocketAddr, zone: &str) -> Option<Addresses> {
    let mut connection = connect(directory).await?;
    let request = caller::address_query(HOST, zone);
    let response = connection.sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    caller::addresses(head.status, &body)
}

/// Returns the index of the entry with that address.
pub(crate) fn entry_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => 0,
    }
}

/// Sends a request, passes the answer's headers to `record` and reads its body. Returns how it ended, the
/// pause before a retry, and whether the connection stays open.
pub(crate) async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    attempt: &caller::Attempt,
    stream: Option<&Stream>,
    progress: &mut Progress,
    record: impl Fn(&HeaderMap),
) -> (End, Duration, bool) {
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) => return (End::Unanswered, Duration::ZERO, false),
    };
    record(response.headers());
    let retry_delay = parse_retry_after(&response);
    let stays_open = !response
        .headers()
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let status = response.status().as_u16();
    let end = match stream.filter(|_| status == 200) {
        Some(stream) => read_stream(response.into_body(), attempt, stream, progress).await,
        None => read_whole(response, attempt).await,
    };
    let stays_open = stays_open && matches!(end, End::Answered(_));
    (end, retry_delay, stays_open)
}

fn parse_retry_after(response: &Response<Incoming>) -> Duration {
    let stated = response.headers().get(header::RETRY_AFTER);
    let seconds = stated.and_then(|value| value.to_str().ok()?.parse().ok());
    Duration::from_secs_f64(seconds.unwrap_or(0.0_f64).clamp(0.0, 2.0))
}

async fn read_whole(response: Response<Incoming>, attempt: &caller::Attempt) -> End {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return End::Broken;
    };
    let body = body.to_bytes();
    let is_ours = body == content::call_body(&attempt.id);
    match head.status.as_u16() {
        200 if !is_ours => End::Wrong(format_smolstr!("another body: {body:?}")),
        status => End::Answered(status),
    }
}

/// Reads a stream to its end and checks that its events arrive in order and are of one software version, over all
/// attempts of its caller.
async fn read_stream(
    mut body: Incoming,
    attempt: &caller::Attempt,
    stream: &Stream,
    progress: &mut Progress,
) -> End {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return End::Broken;
        };
        if let Some(bytes) = frame.data_ref() {
            text.push_str(&String::from_utf8_lossy(bytes));
        }
        while let Some(length) = text.find("\n\n") {
            let event: String = text.drain(..length + 2).collect();
            if progress.last_event == 0 {
                progress.version = content::version_of(&event).unwrap_or_default().into();
                progress.began_as = attempt.id.clone();
            }
            if event != stream.event(progress.last_event + 1, &progress.version) {
                let (last, version) = (progress.last_event, &progress.version);
                return End::Wrong(format_smolstr!("{event:?} after event {last} of {version}"));
            }
            progress.last_event += 1;
        }
    }
    match progress.last_event == stream.events && text.is_empty() {
        true => End::Answered(200),
        false => End::Wrong(format_smolstr!(
            "ended after event {} of {}",
            progress.last_event,
            stream.events
        )),
    }
}

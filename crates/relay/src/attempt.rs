//! One attempt: forwards a request to a replica and relays its answer to the caller.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::Span;
use clock::Time;
use gateway::attempt::End;
use gateway::attempt::Endpoint;
use gateway::attempt::Report;
use gateway::effect::Start;
use gateway::event;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::adapter::Classification;
use crate::adapter::Resume;
use crate::adapter::Transfer;
use crate::events::Event;
use crate::events::Splitter;
use crate::flight::Flight;
use crate::flight::Inbound;
use crate::pool::Connection;
use crate::reach;
use crate::reach::Finding;
use crate::shared::Shared;

/// Interval between two progress reports of a stream.
const REPORT_INTERVAL: Span = Span::from_millis(250);
/// Largest answer that is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Longest wait for the rest of an unneeded answer, after which its connection is closed instead of reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval at which a request that awaits bytes checks whether all servers are silent.
const SILENCE_CHECK_INTERVAL: Span = Span::from_millis(400);

/// The outcome of an exchange up to the head of its answer.
enum Head {
    Received(Answer),
    Ended(End),
}

/// An answer whose body has not been read yet.
struct Answer {
    connection: Connection,
    head: response::Parts,
    body: Incoming,
}

/// Progress of a stream that is being relayed.
struct StreamState {
    splitter: Splitter,
    /// Whether an event of this attempt was relayed.
    started: bool,
    last_report: Time,
    /// Tokens since the last report.
    unreported_tokens: u32,
    /// Time of this attempt's last event.
    last_event_at: Time,
}

impl Flight {
    /// Forwards the request to a replica and relays its answer; `None` if the caller disconnected.
    pub async fn exchange(&mut self, start: &Start, transfer: Option<Transfer>) -> Option<End> {
        let resume = self.last_event.clone().map(|last_event| Resume {
            last_event,
            transfer,
        });
        let head = tokio::select! {
            head = send_request(&self.shared, &self.inbound, start, resume.as_ref()) => head,
            () = self.caller.disconnected() => return None,
        };
        let answer = match head {
            Head::Received(answer) => answer,
            Head::Ended(end) => return Some(end),
        };
        if start.stream && answer.head.status == StatusCode::OK {
            return self.relay_stream(start, answer).await;
        }
        self.relay_whole(start, answer).await
    }

    /// Relays an answer once it is complete, so that a truncated one can be retried.
    async fn relay_whole(&mut self, start: &Start, answer: Answer) -> Option<End> {
        let Answer {
            connection,
            head,
            body,
        } = answer;
        let collecting = Limited::new(body, MAX_BUFFERED_BYTES).collect();
        let collected = tokio::select! {
            collected = collecting => collected,
            () = self.caller.disconnected() => return None,
        };
        let Ok(collected) = collected else {
            return Some(examine_break(&self.shared, start, &connection).await);
        };
        let mut response = Response::new(collected.to_bytes());
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.codec.response_headers(&head.headers);
        let status = head.status.as_u16();
        self.shared
            .pool
            .release(&start.endpoint, connection, &head.headers)
            .await;
        if self.caller.is_streaming() {
            // The stream started on another replica, and this one can't resume it.
            return Some(End::Failed { status });
        }
        if head.status.is_server_error() && start.repeatable {
            self.fallback = Some(response);
            return Some(End::Failed { status });
        }
        self.caller.respond(response);
        Some(End::Finished {
            status,
            tokens: self.tokens,
            pause: self.longest_pause,
            survived: true,
        })
    }

    /// Relays a stream event by event.
    async fn relay_stream(&mut self, start: &Start, mut answer: Answer) -> Option<End> {
        let mut state = StreamState {
            splitter: Splitter::default(),
            started: false,
            last_report: self.shared.clock.now(),
            unreported_tokens: 0,
            last_event_at: self.shared.clock.now(),
        };
        loop {
            let proxy = answer.connection.proxy();
            let next_frame = with_silence_timeout(&self.shared, start, proxy, answer.body.frame());
            let frame = tokio::select! {
                frame = next_frame => frame,
                () = self.caller.disconnected() => return None,
            };
            reach::record_sign(&self.shared, &start.endpoint, &answer.connection);
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => {
                    return Some(examine_break(&self.shared, start, &answer.connection).await);
                }
                Ok(None) => break,
                Err(end) => return Some(end),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if state.splitter.push(&bytes).is_err() {
                return Some(End::Broken { alive: true });
            }
            if let Some(timeout) = start.record_timeout.filter(|_| !state.started) {
                let recorded = tokio::select! {
                    recorded = is_recorded(&self.recorded, start.attempt, timeout) => recorded,
                    () = self.caller.disconnected() => return None,
                };
                if !recorded {
                    return Some(End::Unrecorded);
                }
            }
            while let Some(event) = state.splitter.next() {
                self.relay_event(start, &answer.head, &mut state, event)
                    .await;
            }
        }
        // A run that is stopped to be moved ends without its last event. If only the end of the connection
        // delimits the stream, it would look complete.
        let framed = is_framed(&answer.head.headers);
        if self.migrating.get() && !framed {
            return Some(End::Broken { alive: true });
        }
        if state.splitter.has_partial_event() || !state.started {
            return match framed {
                true => Some(End::Broken { alive: true }),
                false => Some(examine_break(&self.shared, start, &answer.connection).await),
            };
        }
        self.caller.finish();
        let survived = framed || is_reached(&self.shared, start, &answer.connection).await;
        let headers = answer.head.headers;
        self.shared
            .pool
            .release(&start.endpoint, answer.connection, &headers)
            .await;
        Some(End::Finished {
            status: answer.head.status.as_u16(),
            tokens: self.tokens,
            pause: self.longest_pause,
            survived,
        })
    }

    /// Relays one event, unless the caller already received it.
    async fn relay_event(
        &mut self,
        start: &Start,
        head: &response::Parts,
        state: &mut StreamState,
        event: Event,
    ) {
        if is_duplicate(self.last_event.as_deref(), event.id.as_deref()) {
            return;
        }
        if !self.caller.is_streaming() {
            let headers = stream_headers(self.shared.codec.response_headers(&head.headers));
            self.caller.start_stream(head.status, headers);
        }
        let first = !std::mem::replace(&mut state.started, true);
        if first {
            self.report(start, Report::ResponseStarted);
        }
        if event.id.is_some() {
            self.last_event = event.id;
        }
        self.tokens += start.tokens_per_event;
        state.unreported_tokens += start.tokens_per_event;
        self.caller.send_chunk(event.bytes).await;
        let now = self.shared.clock.now();
        if !first {
            self.longest_pause = self.longest_pause.max(now.since(state.last_event_at));
        }
        state.last_event_at = now;
        if now.since(state.last_report) >= REPORT_INTERVAL {
            state.last_report = now;
            let tokens = std::mem::take(&mut state.unreported_tokens);
            self.report(start, Report::Progress { tokens });
        }
    }
}

/// Waits until the version of an attempt is recorded; returns false if that takes too long.
async fn is_recorded(recorded: &watch::Sender<u32>, attempt: u32, timeout: Span) -> bool {
    let mut recorded = recorded.subscribe();
    let recording = recorded.wait_for(|latest| *latest >= attempt);
    let recording = tokio::time::timeout(timeout.as_duration(), recording).await;
    matches!(recording, Ok(Ok(_)))
}

/// Sends the request and waits for the head of its answer.
async fn send_request(
    shared: &Rc<Shared>,
    inbound: &Inbound,
    start: &Start,
    resume: Option<&Resume>,
) -> Head {
    let started = shared.clock.now();
    let direct = shared.reach.is_direct(started, &start.endpoint);
    let mut idle = shared.pool.take(&start.endpoint, direct);
    loop {
        let connection = match idle.take() {
            Some(connection) => Ok(connection),
            None => reach::connect(shared, &start.endpoint).await,
        };
        let Ok(mut connection) = connection else {
            return Head::Ended(End::NotSent);
        };
        let remaining = start.time_left - shared.clock.now().since(started);
        if remaining == Span::ZERO || !may_forward(shared, &start.endpoint, resume) {
            return Head::Ended(End::NotSent);
        }
        let start = Start {
            time_left: remaining,
            ..start.clone()
        };
        let request = build_request(shared, inbound, &start, resume);
        let sending = connection.sender.try_send_request(request);
        let proxy = connection.proxy();
        let mut error = match with_silence_timeout(shared, &start, proxy, sending).await {
            Ok(Ok(response)) => {
                reach::record_sign(shared, &start.endpoint, &connection);
                return handle_head(shared, inbound, &start, connection, response).await;
            }
            Ok(Err(error)) => error,
            Err(end) => return Head::Ended(end),
        };
        if error.take_message().is_none() {
            return Head::Ended(examine_break(shared, &start, &connection).await);
        }
        // Nothing was sent. The replica may have closed a pooled connection while it was idle; a new
        // connection shows whether the replica is reachable.
        if !connection.used {
            return Head::Ended(End::NotSent);
        }
    }
}

/// Returns whether the server still accepts the request. A run that was moved is resumed also during a pause,
/// since its server has already taken over its memory.
fn may_forward(shared: &Shared, endpoint: &Endpoint, resume: Option<&Resume>) -> bool {
    let is_moved = resume.is_some_and(|resume| resume.transfer.is_some());
    match is_moved {
        true => !shared.pool.is_closed(endpoint),
        false => shared.pool.accepts_requests(endpoint),
    }
}

/// Builds the request that is sent to the replica.
fn build_request(
    shared: &Shared,
    inbound: &Inbound,
    start: &Start,
    resume: Option<&Resume>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.head.method.clone();
    *request.uri_mut() = inbound.head.uri.clone();
    *request.headers_mut() = shared.codec.request_headers(&inbound.head, start, resume);
    request
}

/// Handles the head of an answer.
async fn handle_head(
    shared: &Shared,
    inbound: &Inbound,
    start: &Start,
    connection: Connection,
    response: Response<Incoming>,
) -> Head {
    let (head, body) = response.into_parts();
    report_limit(shared, start, &head.headers);
    report_notice(shared, start, &connection, &head);
    match shared.codec.classify(&head, &inbound.id) {
        Classification::Answer => Head::Received(Answer {
            connection,
            head,
            body,
        }),
        Classification::NotStarted => {
            let rest = Limited::new(body, MAX_BUFFERED_BYTES).collect();
            if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, rest).await {
                let releasing = shared
                    .pool
                    .release(&start.endpoint, connection, &head.headers);
                releasing.await;
            }
            Head::Ended(End::NotStarted)
        }
        Classification::Mismatched => Head::Ended(End::Broken { alive: true }),
    }
}

/// Reports the limits that the answer states, or that previous ones are gone.
fn report_limit(shared: &Shared, start: &Start, headers: &HeaderMap) {
    let limit = shared.codec.limit(headers);
    if !limit.is_empty() || start.limited {
        shared.handle.send_event(event::Event::LimitReported {
            incarnation: start.endpoint.incarnation.clone(),
            limit,
        });
    }
}

/// Reports what the answer states about its server.
fn report_notice(shared: &Shared, start: &Start, connection: &Connection, head: &response::Parts) {
    let notice = shared.codec.notice(head);
    if notice.is_empty() {
        return;
    }
    // The server asked the entry that holds the connection.
    if let (Some(detour), Some(pause)) = (&connection.detour, notice.pause) {
        detour.handle.report_pause(pause);
    }
    shared.handle.send_event(event::Event::NoticeReceived {
        incarnation: start.endpoint.incarnation.clone(),
        notice,
    });
}

/// Returns the end of an attempt whose connection broke while the replica had the request.
///
/// New connections distinguish a lost answer from a crash, and from a fault of the way; requests during which
/// servers crash are quarantined.
async fn examine_break(shared: &Rc<Shared>, start: &Start, connection: &Connection) -> End {
    match reach::examine(shared, &start.endpoint, connection.proxy()).await {
        Finding::Reached => End::Broken { alive: true },
        Finding::Detoured => End::Interrupted,
        Finding::Unreached => End::Broken { alive: false },
    }
}

/// Returns whether a replica still accepts connections after an answer that ended with its connection.
async fn is_reached(shared: &Rc<Shared>, start: &Start, connection: &Connection) -> bool {
    let finding = reach::examine(shared, &start.endpoint, connection.proxy()).await;
    finding != Finding::Unreached
}

/// Awaits something from a replica, but times out if the replica was silent on all its connections for the
/// attempt's silence timeout.
///
/// A replica that answers others is merely busy. Retrying elsewhere would prefill the prompt again and
/// amplify an overload. Traffic on other connections says nothing about a plain call, which has a timeout of
/// its own, nor about a silent way through another entry, `proxy`. A direct connection that is silent
/// while this entry is isolated is given up at once.
async fn with_silence_timeout<T>(
    shared: &Rc<Shared>,
    start: &Start,
    proxy: Option<&SmolStr>,
    pending: impl Future<Output = T>,
) -> Result<T, End> {
    let mut pending = std::pin::pin!(pending);
    let mut waited = Span::ZERO;
    loop {
        let step = match start.silence_timeout {
            Some(limit) => SILENCE_CHECK_INTERVAL.min(limit - waited),
            None => SILENCE_CHECK_INTERVAL,
        };
        if let Ok(value) = tokio::time::timeout(step.as_duration(), pending.as_mut()).await {
            return Ok(value);
        }
        waited = waited + step;
        reach::check_silence(shared);
        let lost = proxy.is_none() && shared.reach.is_isolated();
        if lost && !shared.pool.was_active(&start.endpoint, step) && start.silence_timeout.is_some()
        {
            return Err(End::TimedOut { waited });
        }
        let Some(limit) = start.silence_timeout.filter(|limit| waited >= *limit) else {
            continue;
        };
        let is_active = start.stream && shared.pool.was_active(&start.endpoint, limit);
        tokio::select! {
            biased;
            value = pending.as_mut() => return Ok(value),
            is_sound = reach::check_way(shared, &start.endpoint, proxy, limit, is_active) => {
                if !is_active || !is_sound {
                    return Err(End::TimedOut { waited: limit });
                }
            }
        }
        waited = Span::ZERO;
    }
}

/// Returns whether the caller already received the event `id`.
fn is_duplicate(last: Option<&str>, id: Option<&str>) -> bool {
    let (Some(last), Some(id)) = (last, id) else {
        return false;
    };
    match (last.parse::<u64>(), id.parse::<u64>()) {
        (Ok(last), Ok(id)) => id <= last,
        _ => id == last,
    }
}

/// Returns whether the answer's framing marks its end.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

/// Returns the headers of a stream without its length, since another replica may resume it.
fn stream_headers(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(http::header::CONTENT_LENGTH);
    headers
}

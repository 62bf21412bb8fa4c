//! One attempt: forwards a request to a replica and relays its answer to the caller.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use clock::Span;
use clock::Time;
use gateway::attempt::End;
use gateway::attempt::Endpoint;
use gateway::attempt::Report;
use gateway::effect::Start;
use gateway::event;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response;
use http_body_util::Full;
use hyper::body::Incoming;
use intake::answers::NoRoom;
use tokio::sync::watch;

use crate::adapter::Classification;
use crate::adapter::Resume;
use crate::adapter::Transfer;
use crate::body;
use crate::body::Fault;
use crate::ending;
use crate::ending::Reading;
use crate::events::Event;
use crate::events::MAX_EVENT_BYTES;
use crate::events::Splitter;
use crate::flight::Flight;
use crate::flight::Inbound;
use crate::migration;
use crate::pool::Connection;
use crate::process;
use crate::reach;
use crate::reach::Finding;
use crate::sequence::Place;
use crate::shared::Shared;
use crate::silence::Silence;
use crate::trace::Delimiter;
use crate::trace::Trace;

/// Interval between two progress reports of a stream.
const REPORT_INTERVAL: Span = Span::from_millis(250);
/// Longest wait for the rest of an unneeded answer, after which its connection is closed instead of reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// An answer whose body has not been read yet.
struct Answer {
    connection: Connection,
    head: response::Parts,
    body: Incoming,
    /// Tells whether its end is noticed in time.
    reading: Reading,
}

/// Progress of a stream that is being relayed.
struct StreamState {
    splitter: Splitter,
    silence: Silence,
    /// Blocks without data before the first event. They show no answer yet, so the caller gets them with that event.
    held: BytesMut,
    /// Bytes of blocks without data since the last event that was relayed.
    dataless_bytes: usize,
    /// Whether an event of this attempt was relayed.
    started: bool,
    last_report: Time,
    /// Tokens since the last report.
    unreported_tokens: u32,
    /// Time of this attempt's last event.
    last_event_at: Time,
    trace: Trace,
}

impl StreamState {
    fn new(now: Time, trace: Trace) -> StreamState {
        StreamState {
            splitter: Splitter::default(),
            silence: Silence::new(now),
            held: BytesMut::new(),
            dataless_bytes: 0,
            started: false,
            last_report: now,
            unreported_tokens: 0,
            last_event_at: now,
            trace,
        }
    }
}

impl Flight {
    /// Forwards the request to a replica and relays its answer; `None` if the caller disconnected.
    pub async fn exchange(&mut self, start: &Start, transfer: Option<Transfer>) -> Option<End> {
        if self.caller.is_streaming() && !self.sequence.is_numbered() {
            log::info!(event = "stream_not_resumed", request = self.inbound.id.as_str(); "");
            self.caller.abort();
            return None;
        }
        self.sequence.begin_attempt(start.repeatable);
        let resume = Resume {
            last_event: self.sequence.last().cloned(),
            transfer,
        };
        let head = tokio::select! {
            head = send_request(&self.shared, &self.inbound, start, &resume) => head,
            () = self.caller.disconnected() => return None,
        };
        let answer = match head {
            Ok(answer) => answer,
            Err(end) => return Some(end),
        };
        if start.stream && answer.head.status == StatusCode::OK {
            return self.relay_stream(start, answer).await;
        }
        self.relay_whole(start, answer, resume.transfer.is_some())
            .await
    }

    /// Relays an answer once it is complete, so that a truncated one can be retried.
    async fn relay_whole(&mut self, start: &Start, answer: Answer, is_moved: bool) -> Option<End> {
        let Answer {
            connection,
            head,
            body,
            reading,
        } = answer;
        let collecting = body::collect(
            body,
            &connection.meter,
            &self.shared.intake.answers,
            body::MAX_BUFFERED_BYTES,
        );
        let collected = tokio::select! {
            collected = limit_error_answer(&self.shared, start, &connection, collecting) => collected,
            () = self.caller.disconnected() => return None,
        };
        let collected = match collected {
            Ok(Ok(collected)) => collected,
            Ok(Err(fault)) => {
                return Some(end_of_fault(&self.shared, start, &connection, fault).await);
            }
            Err(end) => return Some(end),
        };
        if self.is_undelimited(&head) {
            let broken = self.examine_ending(start, &connection, reading).await?;
            self.shared.metrics.count_undelimited(broken.is_none());
            if broken.is_some() {
                return broken;
            }
        }
        let mut response = Response::new(collected);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.codec.response_headers(&head.headers);
        let status = head.status.as_u16();
        self.shared
            .pool
            .release(&start.endpoint, connection, &head.headers)
            .await;
        if self.caller.is_streaming() || is_moved {
            // The run started on another replica, and this one can't resume it. Its status may state that the request
            // did not run.
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
        })
    }

    /// Returns how the attempt ends unless its answer, which ended with its connection, is whole; `None` if the caller
    /// disconnected.
    async fn examine_ending(
        &mut self,
        start: &Start,
        connection: &Connection,
        reading: Reading,
    ) -> Option<Option<End>> {
        tokio::select! {
            broken = ending::examine(&self.shared, start, connection, reading) => Some(broken),
            () = self.caller.disconnected() => None,
        }
    }

    /// Returns whether only the end of its connection marks the end of an answer.
    fn is_undelimited(&self, head: &response::Parts) -> bool {
        let has_body = self.inbound.head.method != Method::HEAD
            && head.status != StatusCode::NO_CONTENT
            && head.status != StatusCode::NOT_MODIFIED;
        has_body && Delimiter::of(&head.headers) == Delimiter::Connection
    }

    /// Relays a stream event by event.
    async fn relay_stream(&mut self, start: &Start, answer: Answer) -> Option<End> {
        let trace = Trace::new(&answer.head.headers, &answer.connection);
        let mut state = StreamState::new(self.shared.clock.now(), trace);
        let end = self.relay_events(start, answer, &mut state).await;
        state.trace.log(&self.inbound.id, start, end.as_ref());
        if state.trace.delimiter == Delimiter::Connection {
            let is_whole = matches!(end, Some(End::Finished { .. }));
            self.shared.metrics.count_undelimited(is_whole);
        }
        end
    }

    /// Relays the events of a stream until its end.
    async fn relay_events(
        &mut self,
        start: &Start,
        mut answer: Answer,
        state: &mut StreamState,
    ) -> Option<End> {
        loop {
            let proxy = answer.connection.proxy();
            answer.reading.resume(self.shared.clock.now());
            let reading = body::read(&mut answer.body, &answer.connection.meter);
            let next = state.silence.limit(&self.shared, start, proxy, reading);
            let next = tokio::select! {
                next = next => next,
                () = self.caller.disconnected() => return None,
            };
            answer.reading.pause(self.shared.clock.now());
            reach::record_sign(&self.shared, &answer.connection);
            let bytes = match next {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) => break,
                Ok(Err(fault)) => {
                    let connection = &answer.connection;
                    return Some(end_of_fault(&self.shared, start, connection, fault).await);
                }
                Err(end) => return Some(end),
            };
            if state.splitter.push(&bytes).is_err() {
                return Some(End::Broken { alive: true });
            }
            while let Some(event) = state.splitter.next() {
                if !event.has_data {
                    state.dataless_bytes += event.bytes.len();
                    if state.dataless_bytes > MAX_EVENT_BYTES {
                        return Some(End::Broken { alive: true });
                    }
                    self.relay_dataless(state, event).await;
                    continue;
                }
                reach::record_progress(&self.shared, &start.endpoint, &answer.connection);
                if let Some(timeout) = start.record_timeout.filter(|_| !state.started) {
                    let recorded = tokio::select! {
                        recorded = is_recorded(&self.recorded, start.attempt, timeout) => recorded,
                        () = self.caller.disconnected() => return None,
                    };
                    if !recorded {
                        return Some(End::Unrecorded);
                    }
                }
                let before = self.sequence.last().cloned();
                match self.sequence.place_event(&event) {
                    Place::Next => {
                        state
                            .trace
                            .record_event(before.as_deref(), event.id.as_ref());
                        self.relay_event(start, &answer.head, state, event).await;
                    }
                    Place::Duplicate => state.trace.duplicates += 1,
                    Place::Misplaced => {
                        state.trace.misplaced = event.id;
                        return Some(End::Broken { alive: true });
                    }
                }
                // Time for which the caller was slow is no silence of the replica.
                state.silence.record_progress(self.shared.clock.now());
            }
        }
        let framed = state.trace.delimiter != Delimiter::Connection;
        if !framed {
            // A run that is stopped to be moved ends without its last event.
            let is_stopped = tokio::select! {
                is_stopped = migration::is_run_stopped(&self.moving) => is_stopped,
                () = self.caller.disconnected() => return None,
            };
            if is_stopped {
                return Some(End::Broken { alive: true });
            }
        }
        // A broken stream may have lost nothing but its end.
        let is_empty = self.caller.is_streaming() && state.trace.is_empty();
        let has_nothing_left = framed && (is_empty || self.sequence.is_caught_up());
        if state.splitter.has_partial_event() || !state.started && !has_nothing_left {
            return match framed {
                true => Some(End::Broken { alive: true }),
                false => Some(examine_break(&self.shared, start, &answer.connection).await),
            };
        }
        if !framed {
            let examining = self.examine_ending(start, &answer.connection, answer.reading);
            let broken = examining.await?;
            if broken.is_some() {
                return broken;
            }
        }
        self.start_stream(&answer.head);
        self.caller.finish();
        let headers = answer.head.headers;
        self.shared
            .pool
            .release(&start.endpoint, answer.connection, &headers)
            .await;
        Some(End::Finished {
            status: answer.head.status.as_u16(),
            tokens: self.tokens,
            pause: self.longest_pause,
        })
    }

    /// Relays a block without data; holds it back until the stream has an event. It counts as no token.
    async fn relay_dataless(&mut self, state: &mut StreamState, block: Event) {
        if self.sequence.place_dataless(&block) != Place::Next {
            return;
        }
        if !state.started {
            return state.held.extend_from_slice(&block.bytes);
        }
        self.send_chunk(block.bytes).await;
    }

    /// Sends a part of a stream, which counts as held until the caller has it.
    async fn send_chunk(&mut self, bytes: Bytes) {
        match self.shared.intake.answers.hold(bytes).await {
            Ok(bytes) => self.caller.send_chunk(bytes).await,
            Err(NoRoom) => self.caller.abort(),
        }
    }

    /// Sends the head of a stream, unless an earlier attempt did.
    fn start_stream(&mut self, head: &response::Parts) {
        if !self.caller.is_streaming() {
            let headers = stream_headers(self.shared.codec.response_headers(&head.headers));
            self.caller.start_stream(head.status, headers);
        }
    }

    /// Relays one event that the caller doesn't have.
    async fn relay_event(
        &mut self,
        start: &Start,
        head: &response::Parts,
        state: &mut StreamState,
        event: Event,
    ) {
        // Events that the caller already has don't count, since a faulty replica may repeat one without end.
        state.dataless_bytes = 0;
        self.start_stream(head);
        let first = !std::mem::replace(&mut state.started, true);
        if first {
            self.report(start, Report::ResponseStarted);
        }
        if !state.held.is_empty() {
            self.send_chunk(state.held.split().freeze()).await;
        }
        self.tokens += start.tokens_per_event;
        state.unreported_tokens += start.tokens_per_event;
        self.send_chunk(event.bytes).await;
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

/// Sends the request and waits for the head of its answer; returns the answer, unless the attempt ends before its body.
async fn send_request(
    shared: &Rc<Shared>,
    inbound: &Inbound,
    start: &Start,
    resume: &Resume,
) -> Result<Answer, End> {
    let started = shared.clock.now();
    let direct = shared.reach.is_direct(started, &start.endpoint);
    // A request that may not be sent again is lost with a connection that has ended.
    let mut idle = match start.repeatable {
        true => shared.pool.take(&start.endpoint, direct),
        false => shared.pool.take_after_pause(&start.endpoint, direct).await,
    };
    loop {
        let connection = match idle.take() {
            Some(connection) => Ok(connection),
            None => reach::connect(shared, &start.endpoint).await,
        };
        let Ok(mut connection) = connection else {
            return Err(End::NotSent);
        };
        if start.bound_to_process {
            connection = process::confirm(shared, &start.endpoint, connection).await?;
        }
        let remaining = start.time_left - shared.clock.now().since(started);
        if remaining == Span::ZERO || !may_forward(shared, &start.endpoint, resume) {
            return Err(End::NotSent);
        }
        let start = Start {
            time_left: remaining,
            ..start.clone()
        };
        let request = build_request(shared, inbound, &start, resume);
        let sending = connection.sender.try_send_request(request);
        let proxy = connection.proxy();
        let mut silence = Silence::new(shared.clock.now());
        let mut error = match silence.limit(shared, &start, proxy, sending).await {
            Ok(Ok(response)) => {
                connection.meter.record_progress();
                reach::record_progress(shared, &start.endpoint, &connection);
                let head = handle_head(shared, inbound, &start, connection, response).await;
                return head.map(|(connection, head, body)| Answer {
                    connection,
                    head,
                    body,
                    reading: Reading::new(started),
                });
            }
            Ok(Err(error)) => error,
            Err(end) => return Err(end),
        };
        if error.take_message().is_none() {
            let fault = Fault::new(error.error());
            return Err(end_of_fault(shared, &start, &connection, fault).await);
        }
        // Nothing was sent. The replica may have closed a pooled connection while it was idle; a new
        // connection shows whether the replica is reachable.
        if !connection.used {
            return Err(End::NotSent);
        }
    }
}

/// Returns whether the server still accepts the request. A run that was moved is resumed also during a pause,
/// since its server has already taken over its memory.
fn may_forward(shared: &Shared, endpoint: &Endpoint, resume: &Resume) -> bool {
    match resume.transfer.is_some() {
        true => !shared.pool.is_closed(endpoint),
        false => shared.pool.accepts_requests(endpoint),
    }
}

/// Builds the request that is sent to the replica.
fn build_request(
    shared: &Shared,
    inbound: &Inbound,
    start: &Start,
    resume: &Resume,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.head.method.clone();
    *request.uri_mut() = inbound.head.uri.clone();
    *request.headers_mut() = shared.codec.request_headers(&inbound.head, start, resume);
    request
}

/// Handles the head of an answer; returns the answer, unless the attempt ends with it.
async fn handle_head(
    shared: &Shared,
    inbound: &Inbound,
    start: &Start,
    connection: Connection,
    response: Response<Incoming>,
) -> Result<(Connection, response::Parts, Incoming), End> {
    let (head, body) = response.into_parts();
    report_limit(shared, start, &head.headers);
    report_notice(shared, start, &connection, &head);
    match shared.codec.classify(&head, &inbound.id) {
        Classification::Answer => Ok((connection, head, body)),
        Classification::NotStarted => {
            let rest = body::discard(body, &connection.meter);
            if let Ok(Ok(())) = tokio::time::timeout(DRAIN_TIMEOUT, rest).await {
                let releasing = shared
                    .pool
                    .release(&start.endpoint, connection, &head.headers);
                releasing.await;
            }
            Err(End::NotStarted)
        }
        Classification::Mismatched => Err(End::Broken { alive: true }),
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

/// Reads a whole answer to a stream's request within the stream's silence timeout: nothing in it is an event. A plain
/// call's answer may take all of its time.
async fn limit_error_answer<T>(
    shared: &Rc<Shared>,
    start: &Start,
    connection: &Connection,
    reading: impl Future<Output = T>,
) -> Result<T, End> {
    if !start.stream {
        return Ok(reading.await);
    }
    let mut silence = Silence::new(shared.clock.now());
    silence
        .limit(shared, start, connection.proxy(), reading)
        .await
}

/// Returns the end of an attempt whose answer couldn't be read. A server that sends what is no answer is alive, and
/// needs no new connection to show that.
async fn end_of_fault(
    shared: &Rc<Shared>,
    start: &Start,
    connection: &Connection,
    fault: Fault,
) -> End {
    match fault {
        Fault::Invalid | Fault::NoRoom => End::Broken { alive: true },
        Fault::Disconnected => examine_break(shared, start, connection).await,
    }
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

/// Returns the headers of a stream without its length, since another replica may resume it.
fn stream_headers(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(http::header::CONTENT_LENGTH);
    headers
}

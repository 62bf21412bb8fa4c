//! One attempt: a request handed to a replica, and its answer on the way back.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use clock::Span;
use clock::Time;
use gateway::attempt::End;
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

use crate::adapter::Judgement;
use crate::adapter::Memory;
use crate::adapter::Resume;
use crate::events::Event;
use crate::events::Splitter;
use crate::flight::Flight;
use crate::flight::Question;
use crate::pool::Connection;
use crate::shared::Shared;

/// Time between two reports of a stream's tokens.
const REPORT_TIME: Span = Span::from_millis(250);
/// Largest answer that is kept whole before its caller gets it.
const WHOLE_BYTES: usize = 4 << 20;
/// Longest wait for the rest of an answer that nobody needs, to use its connection again.
const REST_TIME: Duration = Duration::from_millis(50);

/// How an exchange went as far as the head of its answer.
enum Head {
    Came(Answer),
    Ended(End),
}

/// An answer whose body is still to come.
struct Answer {
    connection: Connection,
    head: response::Parts,
    body: Incoming,
}

/// A stream's attempt as it goes on.
struct Reading {
    splitter: Splitter,
    /// Whether an event of this attempt was passed on.
    begun: bool,
    reported: Time,
    /// Tokens since the last report.
    unreported: u32,
    /// When the last event of this attempt came.
    last: Time,
}

impl Flight {
    /// Hands the request to a replica and passes its answer on. None if the caller is gone.
    pub async fn exchange(&mut self, start: &Start, memory: Option<Memory>) -> Option<End> {
        let resume = self
            .last_event
            .clone()
            .map(|last_event| Resume { last_event, memory });
        let head = tokio::select! {
            head = ask(&self.shared, &self.question, start, resume.as_ref()) => head,
            () = self.caller.gone() => return None,
        };
        let answer = match head {
            Head::Came(answer) => answer,
            Head::Ended(end) => return Some(end),
        };
        if start.stream && answer.head.status == StatusCode::OK {
            return self.pass_stream(start, answer).await;
        }
        self.pass_whole(start, answer).await
    }

    /// Passes an answer on once it is whole, so that one that is cut short can be asked for again.
    async fn pass_whole(&mut self, start: &Start, answer: Answer) -> Option<End> {
        let Answer {
            connection,
            head,
            body,
        } = answer;
        let collecting = Limited::new(body, WHOLE_BYTES).collect();
        let collected = tokio::select! {
            collected = collecting => collected,
            () = self.caller.gone() => return None,
        };
        let Ok(collected) = collected else {
            return Some(broken(&self.shared, start).await);
        };
        let mut response = Response::new(collected.to_bytes());
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.codec.backward(&head.headers);
        let status = head.status.as_u16();
        self.shared
            .pool
            .keep(&start.endpoint, connection, &head.headers)
            .await;
        if self.caller.is_reading() {
            // The stream began at another replica; this one can't go on.
            return Some(End::Failed { status });
        }
        if head.status.is_server_error() && start.repeatable {
            self.kept = Some(response);
            return Some(End::Failed { status });
        }
        self.caller.answer(response);
        Some(End::Finished {
            status,
            tokens: self.tokens,
            pause: self.pause,
        })
    }

    /// Passes a stream on, event by event.
    async fn pass_stream(&mut self, start: &Start, mut answer: Answer) -> Option<End> {
        let mut reading = Reading {
            splitter: Splitter::default(),
            begun: false,
            reported: self.shared.clock.now(),
            unreported: 0,
            last: self.shared.clock.now(),
        };
        loop {
            let reading_on = unless_silent(&self.shared, start, answer.body.frame());
            let frame = tokio::select! {
                frame = reading_on => frame,
                () = self.caller.gone() => return None,
            };
            self.shared.pool.hear(&start.endpoint);
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Some(broken(&self.shared, start).await),
                Ok(None) => break,
                Err(end) => return Some(end),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if reading.splitter.push(&bytes).is_err() {
                return Some(End::Broken { alive: true });
            }
            while let Some(event) = reading.splitter.next() {
                self.pass_event(start, &answer.head, &mut reading, event)
                    .await;
            }
        }
        // A run that was stopped to be moved ends without its last event; where only the connection's end tells
        // that a stream is whole, it would look complete.
        let cut = self.moving.get() && !is_framed(&answer.head.headers);
        if reading.splitter.has_rest() || !reading.begun || cut {
            return Some(End::Broken { alive: true });
        }
        self.caller.end();
        let headers = answer.head.headers;
        self.shared
            .pool
            .keep(&start.endpoint, answer.connection, &headers)
            .await;
        Some(End::Finished {
            status: answer.head.status.as_u16(),
            tokens: self.tokens,
            pause: self.pause,
        })
    }

    /// Passes one event on, unless the caller has had it.
    async fn pass_event(
        &mut self,
        start: &Start,
        head: &response::Parts,
        reading: &mut Reading,
        event: Event,
    ) {
        if is_repeat(self.last_event.as_deref(), event.id.as_deref()) {
            return;
        }
        if !self.caller.is_reading() {
            let headers = stream_headers(self.shared.codec.backward(&head.headers));
            self.caller.begin(head.status, headers);
        }
        let first = !std::mem::replace(&mut reading.begun, true);
        if first {
            self.report(start, Report::ResponseStarted);
        }
        if event.id.is_some() {
            self.last_event = event.id;
        }
        self.tokens += start.tokens_per_event;
        reading.unreported += start.tokens_per_event;
        self.caller.piece(event.bytes).await;
        let now = self.shared.clock.now();
        if !first {
            self.pause = self.pause.max(now.since(reading.last));
        }
        reading.last = now;
        if now.since(reading.reported) >= REPORT_TIME {
            reading.reported = now;
            let tokens = std::mem::take(&mut reading.unreported);
            self.report(start, Report::Progress { tokens });
        }
    }
}

/// Sends the request and waits for the head of its answer.
async fn ask(shared: &Shared, question: &Question, start: &Start, resume: Option<&Resume>) -> Head {
    let asked = shared.clock.now();
    let mut kept = shared.pool.take(&start.endpoint);
    loop {
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => shared.pool.connect(&start.endpoint).await,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => {
                let address = start.endpoint.address.as_str();
                log::debug!(event = "not_connected", address = address, error = error.to_string().as_str(); "");
                return Head::Ended(End::NotSent);
            }
        };
        let left = start.time_left - shared.clock.now().since(asked);
        if left == Span::ZERO || !shared.pool.takes_requests(&start.endpoint) {
            return Head::Ended(End::NotSent);
        }
        let start = Start {
            time_left: left,
            ..start.clone()
        };
        let request = request_of(shared, question, &start, resume);
        let sending = connection.sender.try_send_request(request);
        let mut error = match unless_silent(shared, &start, sending).await {
            Ok(Ok(response)) => {
                shared.pool.hear(&start.endpoint);
                return judged(shared, question, &start, connection, response).await;
            }
            Ok(Err(error)) => error,
            Err(end) => return Head::Ended(end),
        };
        if error.take_message().is_none() {
            return Head::Ended(broken(shared, &start).await);
        }
        // Nothing of it left this process. A kept connection may have been closed by the replica: a
        // new one tells whether it is there.
        if !connection.used {
            return Head::Ended(End::NotSent);
        }
    }
}

/// The request as it goes to the replica.
fn request_of(
    shared: &Shared,
    question: &Question,
    start: &Start,
    resume: Option<&Resume>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(question.body.clone()));
    *request.method_mut() = question.head.method.clone();
    *request.uri_mut() = question.head.uri.clone();
    *request.headers_mut() = shared.codec.forward(&question.head, start, resume);
    request
}

/// Takes the head of an answer in.
async fn judged(
    shared: &Shared,
    question: &Question,
    start: &Start,
    connection: Connection,
    response: Response<Incoming>,
) -> Head {
    let (head, body) = response.into_parts();
    note_limit(shared, start, &head.headers);
    match shared.codec.judge(&head, &question.id) {
        Judgement::Answer => Head::Came(Answer {
            connection,
            head,
            body,
        }),
        Judgement::NotStarted => {
            let rest = Limited::new(body, WHOLE_BYTES).collect();
            if let Ok(Ok(_)) = tokio::time::timeout(REST_TIME, rest).await {
                let keeping = shared.pool.keep(&start.endpoint, connection, &head.headers);
                keeping.await;
            }
            Head::Ended(End::NotStarted)
        }
        Judgement::Foreign => Head::Ended(End::Broken { alive: true }),
    }
}

/// Reports a limit that the answer names, or that it names none any more.
fn note_limit(shared: &Shared, start: &Start, headers: &HeaderMap) {
    let rate = shared.codec.limit(headers);
    if rate.is_some() || start.limited {
        shared.link.event(event::Event::LimitReported {
            incarnation: start.endpoint.incarnation.clone(),
            rate,
        });
    }
}

/// A connection broke while the request was at the replica. Whether the replica still takes connections
/// tells a lost answer from a crash: requests that run where servers crash are suspected.
async fn broken(shared: &Shared, start: &Start) -> End {
    match shared.pool.connect(&start.endpoint).await {
        Ok(connection) => {
            let headers = HeaderMap::new();
            shared
                .pool
                .keep(&start.endpoint, connection, &headers)
                .await;
            End::Broken { alive: true }
        }
        Err(_) => End::Broken { alive: false },
    }
}

/// Waits for something of a replica, but gives it up when the replica has said nothing, on any connection,
/// for the attempt's patience.
///
/// One that answers others is busy: given up there, the request would be read again elsewhere, and an
/// overload would feed itself. A plain call says nothing of others and is given up by its own time.
async fn unless_silent<T>(
    shared: &Shared,
    start: &Start,
    awaited: impl Future<Output = T>,
) -> Result<T, End> {
    let Some(patience) = start.silence_timeout else {
        return Ok(awaited.await);
    };
    let mut awaited = std::pin::pin!(awaited);
    loop {
        match tokio::time::timeout(patience.as_duration(), awaited.as_mut()).await {
            Ok(value) => return Ok(value),
            Err(_) if start.stream && shared.pool.was_heard(&start.endpoint, patience) => {}
            Err(_) => return Err(End::TimedOut { waited: patience }),
        }
    }
}

/// Whether the caller has had the event that `id` names.
fn is_repeat(last: Option<&str>, id: Option<&str>) -> bool {
    let (Some(last), Some(id)) = (last, id) else {
        return false;
    };
    match (last.parse::<u64>(), id.parse::<u64>()) {
        (Ok(last), Ok(id)) => id <= last,
        _ => id == last,
    }
}

/// Whether an answer says itself where it ends.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

/// Headers of a stream: its length isn't known, since another replica may go on with it.
fn stream_headers(mut headers: HeaderMap) -> HeaderMap {
    headers.remove(http::header::CONTENT_LENGTH);
    headers
}

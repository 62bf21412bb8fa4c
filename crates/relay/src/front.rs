//! Accepts callers' connections, reads their requests and starts a task for each.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use clock::Span;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use intake::accept;
use intake::accept::Accepted;
use intake::configs::limits::Times;
use intake::request;
use intake::request::Answer;
use intake::request::Session;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use verdict::Reason;
use verdict::Refusal;

use crate::caller::Caller;
use crate::flight::Flight;
use crate::flight::Inbound;
use crate::inbox::Message;
use crate::payload::Payload;
use crate::sequence::Sequence;
use crate::shared::Shared;

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Time by which connections outlive the callers' idle timeout. A connection that closes just as a request
/// arrives loses that request.
const IDLE_MARGIN: Span = Span::from_seconds(2);
/// A caller that acknowledges nothing for this time is considered gone.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves callers until `shutdown` turns true, then lets every connection finish its current answer.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>, shutdown: watch::Receiver<bool>) {
    let intake = Rc::clone(&shared.intake);
    let port = Rc::clone(&intake.callers);
    let serving = accept::run(listener, intake, port, shutdown, |accepted, shutdown| {
        connection(accepted, Rc::clone(&shared), shutdown)
    });
    serving.await;
}

/// Serves one connection until it is closed.
async fn connection(accepted: Accepted, shared: Rc<Shared>, shutdown: watch::Receiver<bool>) {
    let Accepted { socket, session } = accepted;
    let _ = SockRef::from(socket.stream()).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let limits = shared.limits.borrow().clone();
    let times = Times {
        head: limits.head_timeout,
        idle: limits.idle_timeout + IDLE_MARGIN,
        unread: shared.unread_timeout,
    };
    let caller = session.clone();
    let service = service_fn(move |request| answer(Rc::clone(&shared), caller.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    session
        .serve(connection, times, shutdown, |connection| {
            connection.graceful_shutdown();
        })
        .await;
}

/// Answers one request.
async fn answer(
    shared: Rc<Shared>,
    session: Session,
    request: Request<Incoming>,
) -> Result<Response<Answer<Payload>>, Infallible> {
    let mut received = session.begin(request.version());
    let mut response = match dispatch(&shared, &mut received, request).await {
        Ok(answer) => answer,
        Err(refusal) => shared.codec.encode_refusal(&refusal).map(Payload::from),
    };
    if shared.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(received.answer(response))
}

/// Reads a complete request, starts its task and waits for the head of its answer.
async fn dispatch(
    shared: &Rc<Shared>,
    received: &mut request::Request,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Refusal> {
    let started = shared.clock.now();
    let (head, body) = request.into_parts();
    let limit = shared.limits.borrow().body_bytes;
    let body = received.receive(&head, body, limit).await?;
    received.begin_running();
    let read_time = shared.clock.now().since(started);
    let arrival = shared.codec.decode_request(&head, &body, read_time)?;
    let (answer, answered) = oneshot::channel();
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let continuation = arrival.continuation.as_ref();
    let requested = continuation.map(|continuation| continuation.last_event.clone());
    let serial = shared.allocate_serial();
    let flight = Flight {
        shared: Rc::clone(shared),
        inbound: Inbound {
            serial,
            id: arrival.id.clone(),
            head,
            body,
        },
        caller: Caller::new(answer),
        fallback: None,
        sequence: Sequence::new(requested),
        tokens: 0,
        longest_pause: Span::ZERO,
        moving: Rc::default(),
        recorded: Rc::default(),
    };
    shared.handle.send(Message::Open {
        serial,
        arrival: Box::new(arrival),
        commands,
    });
    tokio::task::spawn_local(flight.run(command_receiver));
    let lost = || Refusal::may_have_run(Reason::BackendFailed, "the answer was lost here");
    answered.await.map_err(|_| lost())
}

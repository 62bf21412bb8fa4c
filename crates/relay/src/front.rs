//! Accepts callers' connections, reads their requests and starts a task for each.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::Span;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use verdict::Reason;
use verdict::Refusal;

use crate::caller::Caller;
use crate::flight::Flight;
use crate::flight::Inbound;
use crate::inbox::Message;
use crate::payload::Payload;
use crate::shared::Shared;

/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Time by which connections outlive the callers' idle timeout. A connection that closes just as a request
/// arrives loses that request.
const IDLE_MARGIN: Span = Span::from_seconds(2);
/// A caller that acknowledges nothing for this time is considered gone.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves callers until `shutdown` turns true, then lets every connection finish its current answer.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>, mut shutdown: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = shutdown.changed() => break,
        };
        match accepted {
            Ok((socket, _)) => {
                connections.spawn_local(connection(socket, Rc::clone(&shared), shutdown.clone()));
            }
            Err(error) => {
                // Out of file descriptors: let some connections end before retrying.
                log::warn!(event = "accept_failed", error = error.to_string().as_str(); "");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one connection until it is closed.
async fn connection(socket: TcpStream, shared: Rc<Shared>, mut shutdown: watch::Receiver<bool>) {
    let _ = socket.set_nodelay(true);
    let _ = SockRef::from(&socket).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let limits = shared.limits.borrow().clone();
    let service = service_fn(move |request| answer(Rc::clone(&shared), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout((limits.idle_timeout + IDLE_MARGIN).as_duration())
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        _ = shutdown.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(event = "caller_connection_ended", error = error.to_string().as_str(); "");
    }
}

/// Answers one request.
async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Infallible> {
    let mut response = match dispatch(&shared, request).await {
        Ok(answer) => answer,
        Err(refusal) => shared.codec.encode_refusal(&refusal).map(Payload::from),
    };
    if shared.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Reads a complete request, starts its task and waits for the head of its answer.
async fn dispatch(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Refusal> {
    let started = shared.clock.now();
    let (head, body) = request.into_parts();
    let body = read_body(shared, body).await?;
    let read_time = shared.clock.now().since(started);
    let arrival = shared.codec.decode_request(&head, &body, read_time)?;
    let (answer, answered) = oneshot::channel();
    let (commands, command_receiver) = mpsc::unbounded_channel();
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
        last_event: None,
        tokens: 0,
        longest_pause: Span::ZERO,
        migrating: Rc::default(),
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

/// Reads a body up to the size limit.
async fn read_body(shared: &Rc<Shared>, body: Incoming) -> Result<Bytes, Refusal> {
    let limit = shared.limits.borrow().body_bytes;
    let too_large = || Refusal::not_run(Reason::TooLarge, "the body is too large");
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(_) => Err(Refusal::not_run(
            Reason::Malformed,
            "the body can't be read",
        )),
    }
}

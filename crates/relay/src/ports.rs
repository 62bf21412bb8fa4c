//! The ports for address queries, readiness probes and metrics.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use clock::Span;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use intake::accept;
use intake::accept::Accepted;
use intake::configs::limits::Port;
use intake::configs::limits::Times;
use intake::connections::Connections;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::inbox::Message;
use crate::shared::Shared;

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time limits of connections; idle ones may last longer than the usual interval of probes and queries.
const TIMES: Times = Times {
    head: Span::from_seconds(5),
    idle: Span::from_seconds(20),
    unread: Span::from_seconds(20),
};

/// Serves one port until `shutdown` turns true, then lets every connection finish its current answer.
pub async fn serve(
    listener: TcpListener,
    shared: Rc<Shared>,
    limits: Port,
    shutdown: watch::Receiver<bool>,
) {
    let intake = Rc::clone(&shared.intake);
    let port = Rc::new(Connections::new(limits));
    let serving = accept::run(listener, intake, port, shutdown, |accepted, shutdown| {
        connection(accepted, Rc::clone(&shared), shutdown)
    });
    serving.await;
}

/// Serves one connection until it is closed.
async fn connection(accepted: Accepted, shared: Rc<Shared>, shutdown: watch::Receiver<bool>) {
    let Accepted { socket, session } = accepted;
    let caller = session.clone();
    let service = service_fn(move |request| {
        let mut received = caller.begin(request.version());
        received.begin_running();
        let answering = answer(Rc::clone(&shared), request);
        async move { answering.await.map(|response| received.answer(response)) }
    });
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES);
    let connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    session
        .serve(connection, TIMES, shutdown, |connection| {
            connection.graceful_shutdown();
        })
        .await;
}

/// Answers one request.
async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, _) = request.into_parts();
    let codec = Rc::clone(&shared.codec);
    let response = if let Some(zone) = codec.address_query(&head) {
        let (reply, answered) = oneshot::channel();
        shared.handle.send(Message::Addresses { zone, reply });
        let addresses = answered.await.unwrap_or(None);
        codec.encode_addresses(addresses.as_ref())
    } else if codec.is_readiness_probe(&head) {
        let status = match shared.ready.get() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = empty(status);
        let lag = shared.lag.get().as_millis();
        *response.body_mut() = Bytes::from(format!("loop_lag_ms={lag}\n"));
        response
    } else if codec.is_metrics_request(&head) {
        Response::new(Bytes::from(shared.metrics_text()))
    } else {
        empty(StatusCode::NOT_FOUND)
    };
    Ok(response.map(Full::new))
}

fn empty(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

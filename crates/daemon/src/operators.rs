//! Port for operators: their API over HTTP/2, within the limits of a port.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use clock::Span;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use intake::accept;
use intake::accept::Accepted;
use intake::configs::limits::Port;
use intake::configs::limits::Times;
use intake::connections::Connections;
use intake::executor::LocalExecutor;
use intake::intake::Intake;
use intake::request::Answer;
use intake::request::Session;
use ops::server;
use ops::server::Api;
use ops::server::Payload;
use settings::capacity::HTTP2_WINDOW_BYTES;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time limits of connections; those of operators may stay open between calls.
const TIMES: Times = Times {
    head: Span::from_seconds(5),
    idle: Span::from_seconds(600),
    unread: Span::from_seconds(20),
};

/// Serves the port until `shutdown` turns true, then lets every connection finish its current answers.
pub async fn serve(
    listener: TcpListener,
    api: Api,
    intake: Rc<Intake>,
    limits: Port,
    shutdown: watch::Receiver<bool>,
) {
    let port = Rc::new(Connections::new(limits));
    let serving = accept::run(listener, intake, port, shutdown, |accepted, shutdown| {
        connection(accepted, api.clone(), shutdown)
    });
    serving.await;
}

/// Serves one connection until it is closed.
async fn connection(accepted: Accepted, api: Api, shutdown: watch::Receiver<bool>) {
    let Accepted { socket, session } = accepted;
    let operator = session.clone();
    let service = service_fn(move |request| answer(request, operator.clone(), api.clone()));
    let mut builder = http2::Builder::new(LocalExecutor);
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(Some(server::KEEPALIVE_INTERVAL))
        .max_concurrent_streams(server::MAX_CALLS_PER_CONNECTION)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES);
    let connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    session
        .serve(connection, TIMES, shutdown, |connection| {
            connection.graceful_shutdown();
        })
        .await;
}

/// Answers one call. One without the operators' key is refused before its message is read.
async fn answer(
    request: Request<Incoming>,
    operator: Session,
    api: Api,
) -> Result<Response<Answer<Payload>>, Infallible> {
    let mut received = operator.begin(request.version());
    received.begin_running();
    Ok(received.answer(api.answer(request).await))
}

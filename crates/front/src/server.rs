//! Accepts callers' connections and serves their calls.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use intake::accept;
use intake::accept::Accepted;
use intake::executor::LocalExecutor;
use intake::intake::Intake;
use intake::request::Answer;
use intake::request::Session;
use settings::capacity::HTTP2_WINDOW_BYTES;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::configs::limit::Limit;
use crate::handler::Handler;
use crate::read;
use crate::response;
use crate::response::Payload;

/// Smallest read buffer that hyper accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Calls that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 100;
/// Bytes of an answer that wait to be sent on one HTTP/2 stream.
const STREAM_BUFFER_BYTES: usize = 64 << 10;

/// Serves callers until `shutdown` changes, then lets every connection finish its current response. Must run
/// within a `LocalSet`.
pub async fn serve(
    listener: TcpListener,
    limit: Limit,
    intake: Rc<Intake>,
    handler: Rc<dyn Handler>,
    shutdown: watch::Receiver<bool>,
) {
    let port = Rc::clone(&intake.callers);
    let serving = accept::run(listener, intake, port, shutdown, |accepted, shutdown| {
        serve_connection(accepted, limit, Rc::clone(&handler), shutdown)
    });
    serving.await;
}

/// Serves one connection until it closes.
async fn serve_connection(
    accepted: Accepted,
    limit: Limit,
    handler: Rc<dyn Handler>,
    shutdown: watch::Receiver<bool>,
) {
    let Accepted { socket, session } = accepted;
    let caller = session.clone();
    let service =
        service_fn(move |request| serve_call(request, limit, caller.clone(), Rc::clone(&handler)));
    let builder = connection_builder(&limit);
    let connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    session
        .serve(connection, limit.times, shutdown, |connection| {
            connection.graceful_shutdown();
        })
        .await;
}

/// Returns the builder for HTTP/1.1 and HTTP/2 connections with the limits.
fn connection_builder(limit: &Limit) -> Builder<LocalExecutor> {
    let mut builder = Builder::new(LocalExecutor);
    builder
        .http1()
        .header_read_timeout(None)
        .max_buf_size(limit.head_bytes.max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_send_buf_size(STREAM_BUFFER_BYTES)
        .max_header_list_size(u32::try_from(limit.head_bytes).unwrap_or(u32::MAX));
    builder
}

/// Reads and answers one call.
async fn serve_call(
    request: Request<Incoming>,
    limit: Limit,
    caller: Session,
    handler: Rc<dyn Handler>,
) -> Result<Response<Answer<Payload>>, Infallible> {
    let mut received = caller.begin(request.version());
    let response = match read::read(request, &mut received, &limit).await {
        Ok((credentials, call)) => handler.handle(credentials, call).await,
        Err(refusal) => response::refusal("", &refusal),
    };
    Ok(received.answer(response))
}

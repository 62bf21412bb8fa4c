//! Accepts callers' connections and serves their calls.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::rt::Executor;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::configs::limit::Limit;
use crate::handler::Handler;
use crate::read;
use crate::response;
use crate::response::Payload;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Smallest read buffer that hyper accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Serves callers until `shutdown` changes, then lets every connection finish its current response. Must run
/// within a `LocalSet`.
pub async fn serve(
    listener: TcpListener,
    limit: Limit,
    handler: Rc<dyn Handler>,
    mut shutdown: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = shutdown.changed() => break,
        };
        let Ok((socket, _)) = accepted else {
            // Out of file descriptors: give open connections time to close.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if connections.len() >= limit.connections {
            log::warn!(event = "connection_refused", open = connections.len(); "");
            continue;
        }
        let connection = serve_connection(socket, limit, Rc::clone(&handler), shutdown.clone());
        connections.spawn_local(connection);
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one connection until it closes.
async fn serve_connection(
    socket: TcpStream,
    limit: Limit,
    handler: Rc<dyn Handler>,
    mut shutdown: watch::Receiver<bool>,
) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| serve_call(request, limit, Rc::clone(&handler)));
    let builder = connection_builder(&limit);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        _ = shutdown.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(event = "connection_ended", error = error.to_string().as_str(); "");
    }
}

/// Returns the builder for HTTP/1.1 and HTTP/2 connections with the limits.
fn connection_builder(limit: &Limit) -> Builder<LocalExecutor> {
    let mut builder = Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limit.head_time.as_duration())
        .max_buf_size(limit.head_bytes.max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limit.head_bytes).unwrap_or(u32::MAX));
    builder
}

/// Reads and answers one call.
async fn serve_call(
    request: Request<Incoming>,
    limit: Limit,
    handler: Rc<dyn Handler>,
) -> Result<Response<Payload>, Infallible> {
    let response = match read::read(request, &limit).await {
        Ok((credentials, call)) => handler.handle(credentials, call).await,
        Err(refusal) => response::refusal("", &refusal),
    };
    Ok(response)
}

/// Spawns the tasks of an HTTP/2 connection on the local thread.
#[derive(Clone, Copy)]
struct LocalExecutor;

impl<F: Future<Output = ()> + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}

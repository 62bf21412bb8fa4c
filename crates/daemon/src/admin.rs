//! Admin port: health, readiness and metrics.

use std::cell::Cell;
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
use intake::intake::Intake;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// State that the port exposes.
#[derive(Clone)]
pub struct Admin {
    /// Whether the entry admits requests.
    pub ready: Rc<Cell<bool>>,
    /// Registry of all metrics.
    pub registry: Registry,
}

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time limits of connections; idle ones may last longer than the usual interval of checks.
const TIMES: Times = Times {
    head: Span::from_seconds(5),
    idle: Span::from_seconds(60),
    unread: Span::from_seconds(20),
};

/// Serves the port until `shutdown` turns true, then lets every connection finish its current answers.
pub async fn serve(
    listener: TcpListener,
    admin: Admin,
    intake: Rc<Intake>,
    limits: Port,
    shutdown: watch::Receiver<bool>,
) {
    let port = Rc::new(Connections::new(limits));
    let serving = accept::run(listener, intake, port, shutdown, |accepted, shutdown| {
        connection(accepted, admin.clone(), shutdown)
    });
    serving.await;
}

/// Serves one connection until it is closed.
async fn connection(accepted: Accepted, admin: Admin, shutdown: watch::Receiver<bool>) {
    let Accepted { socket, session } = accepted;
    let caller = session.clone();
    let service = service_fn(move |request| {
        let answer = caller
            .begin(request.version())
            .answer(admin.answer(&request));
        async move { Ok::<_, Infallible>(answer) }
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

impl Admin {
    /// Answers one request.
    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/healthz" => text(StatusCode::OK, "alive\n"),
            "/readyz" if self.ready.get() => text(StatusCode::OK, "ready\n"),
            "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => text(StatusCode::OK, self.metrics()),
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    fn metrics(&self) -> Vec<u8> {
        let mut buffer = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        buffer
    }
}

/// Creates a plain text response.
fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

//! Admin port: health, readiness and metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use tokio::net::TcpListener;

/// State that the port exposes.
#[derive(Clone)]
pub struct Admin {
    /// Whether the entry admits requests.
    pub ready: Rc<Cell<bool>>,
    /// Registry of all metrics.
    pub registry: Registry,
}

/// Serves the port until the future is dropped.
pub async fn serve(listener: TcpListener, admin: Admin) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let admin = admin.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = admin.answer(&request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
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

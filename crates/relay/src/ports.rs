//! The ports for address queries, readiness probes and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::inbox::Message;
use crate::shared::Shared;

/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Idle timeout of connections, longer than the usual interval of probes and queries.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves one port until the future is dropped.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| answer(Rc::clone(&shared), request));
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(socket), service)
                .await;
            if let Err(error) = served {
                log::debug!(event = "port_connection_ended", error = error.to_string().as_str(); "");
            }
        });
    }
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

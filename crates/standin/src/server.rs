//! A small HTTP server on the current `LocalSet` that can be killed as if its process had died.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::rt::Executor;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

/// HTTP response of a component.
pub type Answer = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Frame of a streamed response; an error cuts the connection.
pub type Piece = Result<Frame<Bytes>, io::Error>;

/// Handles a request; an error cuts the connection without a response.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> LocalBoxFuture<'static, io::Result<Answer>>>;

/// A listening HTTP server.
pub struct Server {
    address: SocketAddr,
    tasks: AbortHandle,
    dead: Rc<Cell<bool>>,
}

impl Server {
    /// Listens at `address` and serves until the server is dropped or killed.
    pub async fn bind(address: &str, handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let tasks = tokio::task::spawn_local(accept(listener, handler)).abort_handle();
        Ok(Server {
            address,
            tasks,
            dead: Rc::new(Cell::new(false)),
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once, as if the process had died.
    pub fn kill(&self) {
        self.dead.set(true);
        self.tasks.abort();
    }

    /// Returns whether it was killed.
    pub fn is_dead(&self) -> bool {
        self.dead.get()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.abort();
    }
}

async fn accept(listener: TcpListener, handler: Handler) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn_local(serve(stream, Rc::clone(&handler)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler(request));
    let builder = auto::Builder::new(LocalExecutor);
    if let Err(error) = builder
        .serve_connection(TokioIo::new(stream), service)
        .await
    {
        log::debug!(event = "connection-ended", error = error.to_string().as_str(); "");
    }
}

/// Runs hyper's own tasks on the current `LocalSet`.
#[derive(Clone, Copy)]
struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}

/// Returns a response with `value` as its JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> io::Result<Answer> {
    let bytes = serde_json::to_vec(value)?;
    let mut answer = plain(status, Bytes::from(bytes));
    answer.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Ok(answer)
}

/// Returns a response with `bytes` as its body.
pub fn plain(status: StatusCode, bytes: Bytes) -> Answer {
    let body = Full::new(bytes).map_err(|never| match never {});
    let mut answer = Response::new(UnsyncBoxBody::new(body));
    *answer.status_mut() = status;
    answer
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Answer {
    plain(status, Bytes::new())
}

/// Returns a response that streams server-sent events from the returned sender.
pub fn event_stream(capacity: usize) -> (mpsc::Sender<Piece>, Answer) {
    let (sender, receiver) = mpsc::channel::<Piece>(capacity);
    let pieces = futures::stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        Some((piece, receiver))
    });
    let mut answer = Response::new(UnsyncBoxBody::new(StreamBody::new(pieces)));
    answer.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    (sender, answer)
}

/// Reads the whole body of a request.
pub async fn read_body(request: Request<Incoming>) -> io::Result<Bytes> {
    let collected = request.into_body().collect().await;
    Ok(collected.map_err(io::Error::other)?.to_bytes())
}

/// Parses the body of a request as JSON, or returns the response that refuses it.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> io::Result<Result<T, Answer>> {
    let bytes = read_body(request).await?;
    Ok(serde_json::from_slice(&bytes).map_err(|error| {
        plain(
            StatusCode::BAD_REQUEST,
            Bytes::from(format!("malformed body: {error}\n")),
        )
    }))
}

/// Returns the percent-decoded value of a query parameter.
pub fn query_parameter<T>(request: &Request<T>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    for pair in pairs {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return Some(percent_decode(value));
        }
    }
    None
}

/// Decodes percent escapes.
pub fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        match decode_escape(first, tail) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn decode_escape(first: u8, tail: &[u8]) -> Option<u8> {
    if first != b'%' {
        return None;
    }
    let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

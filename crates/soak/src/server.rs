//! HTTP server of the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context as TaskContext;
use std::task::Poll;

use anyhow::Context;
use anyhow::Result;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Body of an answer, complete or streamed.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Disconnected>>>;

/// Error by which a handler closes its connection without a complete answer.
#[derive(Clone, Copy, Debug)]
pub struct Disconnected;

impl std::fmt::Display for Disconnected {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the connection closes before the answer is complete")
    }
}

impl std::error::Error for Disconnected {}

/// Converts a complete answer.
pub fn complete(response: Response<Bytes>) -> Response<Body> {
    response.map(|bytes| -> Body { Box::pin(Full::new(bytes).map_err(|never| match never {})) })
}

/// Binds the listener of a stand-in.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("can't listen on {address}"))
}

/// A socket that states HTTP/1.1 in answers over HTTP/1.0: the server library frames every answer of unknown length over
/// HTTP/1.1 in chunks.
pub struct Http11(pub TcpStream);

impl AsyncRead for Http11 {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut TaskContext<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Http11 {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut TaskContext<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let socket = Pin::new(&mut self.0);
        match bytes.strip_prefix(b"HTTP/1.0") {
            Some(rest) => socket.poll_write(context, &[b"HTTP/1.1", rest].concat()),
            None => socket.poll_write(context, bytes),
        }
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut TaskContext<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut TaskContext<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

/// Serves one connection until it ends.
pub async fn serve<T, S, H, F>(socket: T, state: Rc<S>, handle: H)
where
    T: AsyncRead + AsyncWrite + Unpin,
    S: 'static,
    H: Fn(Rc<S>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Result<Response<Body>, Disconnected>> + 'static,
{
    let service = service_fn(move |request| handle(Rc::clone(&state), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // The other side sees how the connection ended, and that is checked.
    let _ = connection.await;
}

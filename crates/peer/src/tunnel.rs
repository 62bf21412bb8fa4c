//! Connections to backend servers that another entry opens.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use clock::Span;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_util::sync::PollSender;
use wire::peer_capnp::tunnel;

/// Most bytes in one message.
const CHUNK_BYTES: usize = 16 << 10;
/// Messages that may wait for the reader, or for the peer.
const QUEUE_LENGTH: usize = 2;

/// A connection to a backend server that was opened for a peer.
pub struct Connection {
    /// The connection.
    pub socket: TcpStream,
    /// The entry that opened it; dropped together with the connection.
    pub opener: Box<dyn Opener>,
}

/// The entry that opened a connection for a peer.
pub trait Opener {
    /// Handles a pause that the server asked for in an answer on the connection.
    fn paused(&self, pause: Span);
}

/// The end of a tunnel that holds the connection to the server.
pub(crate) struct Server {
    connection: Connection,
    closed: Notify,
}

impl Server {
    pub fn new(connection: Connection) -> Server {
        Server {
            connection,
            closed: Notify::new(),
        }
    }

    async fn receive(&self) -> io::Result<Vec<u8>> {
        let socket = &self.connection.socket;
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            socket.readable().await?;
            match socket.try_read(&mut buffer) {
                Ok(count) => {
                    buffer.truncate(count);
                    return Ok(buffer);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    async fn send(&self, mut bytes: &[u8]) -> io::Result<()> {
        let socket = &self.connection.socket;
        while !bytes.is_empty() {
            socket.writable().await?;
            match socket.try_write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl tunnel::Server for Server {
    async fn read(
        self: Rc<Self>,
        _: tunnel::ReadParams,
        mut results: tunnel::ReadResults,
    ) -> Result<(), capnp::Error> {
        let received = tokio::select! {
            received = self.receive() => received.map_err(broken)?,
            () = self.closed.notified() => return Err(capnp::Error::failed(String::from("closed"))),
        };
        results.get().set_bytes(&received);
        Ok(())
    }

    async fn write(
        self: Rc<Self>,
        params: tunnel::WriteParams,
        _: tunnel::WriteResults,
    ) -> Result<(), capnp::Error> {
        let sent = tokio::select! {
            sent = self.send(params.get()?.get_bytes()?) => sent,
            () = self.closed.notified() => Ok(()),
        };
        sent.map_err(broken)
    }

    async fn close(
        self: Rc<Self>,
        _: tunnel::CloseParams,
        _: tunnel::CloseResults,
    ) -> Result<(), capnp::Error> {
        self.closed.notify_waiters();
        Ok(())
    }

    async fn paused(
        self: Rc<Self>,
        params: tunnel::PausedParams,
        _: tunnel::PausedResults,
    ) -> Result<(), capnp::Error> {
        let pause = Span::from_millis(params.get()?.get_pause_ms());
        self.connection.opener.paused(pause);
        Ok(())
    }
}

fn broken(error: io::Error) -> capnp::Error {
    capnp::Error::disconnected(error.to_string())
}

/// The end of a tunnel that exchanges bytes with the server; reset when dropped.
pub struct Stream {
    /// Bytes from the server. An empty chunk marks the end; without it the connection broke.
    incoming: mpsc::Receiver<Bytes>,
    unread: Bytes,
    ended: bool,
    outgoing: PollSender<Bytes>,
    handle: Handle,
    tasks: [AbortHandle; 2],
}

/// Reports on a tunnel to the entry at its other end.
#[derive(Clone)]
pub struct Handle {
    tunnel: tunnel::Client,
}

impl Handle {
    /// Reports that the server asked for a pause.
    pub fn report_pause(&self, pause: Span) {
        let mut request = self.tunnel.paused_request();
        request.get().set_pause_ms(pause.as_millis());
        let reporting = request.send();
        tokio::task::spawn_local(async move { log_failure(reporting.promise.await.err()) });
    }

    /// Closes the connection to the server.
    fn close(&self) {
        let closing = self.tunnel.close_request().send();
        tokio::task::spawn_local(async move { log_failure(closing.promise.await.err()) });
    }
}

fn log_failure(error: Option<capnp::Error>) {
    if let Some(error) = error {
        log::debug!(event = "tunnel_broken", error = error.to_string().as_str(); "");
    }
}

impl Stream {
    /// Returns a handle for reports on the tunnel.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Starts to exchange bytes through a tunnel.
    pub(crate) fn new(tunnel: tunnel::Client) -> Stream {
        let (incoming_sender, incoming) = mpsc::channel(QUEUE_LENGTH);
        let (outgoing, outgoing_receiver) = mpsc::channel(QUEUE_LENGTH);
        let reading = tokio::task::spawn_local(read_all(tunnel.clone(), incoming_sender));
        let writing = tokio::task::spawn_local(write_all(tunnel.clone(), outgoing_receiver));
        Stream {
            incoming,
            unread: Bytes::new(),
            ended: false,
            outgoing: PollSender::new(outgoing),
            handle: Handle { tunnel },
            tasks: [reading.abort_handle(), writing.abort_handle()],
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        // A read that waits at the peer would keep the connection open.
        self.handle.close();
    }
}

/// Reads from a tunnel until its end.
async fn read_all(tunnel: tunnel::Client, incoming: mpsc::Sender<Bytes>) {
    loop {
        let response = tunnel.read_request().send().promise.await;
        let bytes = response.and_then(|response| {
            let bytes = response.get()?.get_bytes()?;
            Ok(Bytes::copy_from_slice(bytes))
        });
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(error) => return log_failure(Some(error)),
        };
        let ended = bytes.is_empty();
        if incoming.send(bytes).await.is_err() || ended {
            return;
        }
    }
}

/// Writes queued bytes to a tunnel.
async fn write_all(tunnel: tunnel::Client, mut outgoing: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = outgoing.recv().await {
        let mut request = tunnel.write_request();
        request.get().set_bytes(&bytes);
        if let Err(error) = request.send().promise.await {
            return log_failure(Some(error));
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.unread.is_empty() && !stream.ended {
            match ready!(stream.incoming.poll_recv(context)) {
                Some(bytes) => {
                    stream.ended = bytes.is_empty();
                    stream.unread = bytes;
                }
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            }
        }
        let count = buffer.remaining().min(stream.unread.len());
        buffer.put_slice(&stream.unread[..count]);
        stream.unread.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        let closed = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        ready!(stream.outgoing.poll_reserve(context)).map_err(closed)?;
        let chunk = &bytes[..bytes.len().min(CHUNK_BYTES)];
        let sent = stream.outgoing.send_item(Bytes::copy_from_slice(chunk));
        sent.map_err(closed)?;
        Poll::Ready(Ok(chunk.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().outgoing.close();
        Poll::Ready(Ok(()))
    }
}

//! A caller's socket, which records what arrives and whether the caller takes what is sent.

use std::io;
use std::io::Read;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use clock::Clock;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::connections::Connection;
use crate::connections::Connections;
use crate::stats::Action;
use crate::stats::Stats;

/// Time for which the rest of a refused request, or what follows the last one, is read and dropped. A socket that is
/// closed with bytes unread resets the connection, and the caller may lose its answer.
const LINGER: Duration = Duration::from_millis(300);
/// Most bytes that are dropped so.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Most bytes of a head that are read at once.
const HEAD_READ_BYTES: usize = 8 << 10;
/// Size of the buffer for dropped bytes.
const DROP_BUFFER_BYTES: usize = 4_096;

/// A caller's socket.
pub struct Socket {
    stream: TcpStream,
    clock: Clock,
    port: Rc<Connections>,
    connection: Rc<Connection>,
    stats: Stats,
    linger: Option<Linger>,
    /// Whether the socket is set to reset the connection when it is closed.
    resets: bool,
}

/// Progress of dropping the rest of a refused request.
struct Linger {
    ends: Pin<Box<Sleep>>,
    dropped: usize,
}

impl Socket {
    /// Wraps the socket of a connection.
    pub fn new(
        stream: TcpStream,
        clock: Clock,
        port: Rc<Connections>,
        connection: Rc<Connection>,
        stats: Stats,
    ) -> Socket {
        Socket {
            stream,
            clock,
            port,
            connection,
            stats,
            linger: None,
            resets: false,
        }
    }

    /// Makes the end of the connection a reset from now on if the caller would take a proper one for the end of its answer,
    /// also if the process is killed.
    fn begin_reset(&mut self) {
        if self.connection.is_undelimited() {
            self.set_reset(true);
        }
    }

    fn set_reset(&mut self, resets: bool) {
        if resets == self.resets {
            return;
        }
        self.resets = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            log::debug!(event = "linger_not_set", error = error.to_string().as_str(); "");
        }
    }

    /// Returns whether bytes have arrived that weren't read.
    fn has_arrived(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(1))
    }

    /// Returns the socket itself, to set its options.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads a part of a head. Full reads make the HTTP library double its buffer.
    fn poll_read_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(HEAD_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let read = self.poll_read_some(context, &mut part);
        let count = part.filled().len();
        buffer.advance(count);
        read
    }

    fn poll_read_some(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() || !self.connection.is_probing() {
            return read;
        }
        let socket = SockRef::from(&self.stream);
        match (&*socket).read(buffer.initialize_unfilled()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            read => Poll::Ready(read.map(|count| buffer.advance(count))),
        }
    }

    /// Records the outcome of a write.
    fn record_write<T>(&self, written: Poll<T>) -> Poll<T> {
        let is_blocked = written.is_pending();
        self.connection.record_write(self.clock.now(), is_blocked);
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = match self.connection.is_reading_head() {
            true => self.poll_read_head(context, buffer),
            false => self.poll_read_some(context, buffer),
        };
        let bytes = &buffer.filled()[before..];
        if !bytes.is_empty() {
            self.port
                .record_read(&self.connection, self.clock.now(), bytes);
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_reset();
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_reset();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        // All that was written is in the socket by now.
        this.set_reset(this.connection.is_undelimited());
        if this.resets {
            return Poll::Ready(Ok(()));
        }
        if this.linger.is_none() {
            std::task::ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
            if !this.connection.is_refused() && !this.has_arrived() {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = this.linger.get_or_insert_with(|| Linger {
            ends: Box::pin(sleep(LINGER)),
            dropped: 0,
        });
        let mut bytes = [0; DROP_BUFFER_BYTES];
        while linger.dropped < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut this.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    linger.dropped += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => return linger.ends.as_mut().poll(context).map(Ok),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.begin_reset();
        if self.connection.is_reading_head() && self.has_arrived() {
            self.stats.record(Action::UnreadDropped);
        }
    }
}

//! Limits the bytes that a server may send without progress of its answer.
//!
//! The HTTP library limits each head and the extensions of chunks, but neither the number of informational heads nor the
//! digits of a chunk's size. A server that sends those without end would be read until the request's time limit.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Largest head of an answer in bytes, with all informational heads before it. Sound servers send less than 8 KB.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most bytes read between two parts of a body. The HTTP library reads ahead by some buffers of [`MAX_HEAD_BYTES`] while a
/// part waits to be taken, so a sound server stays far below.
const MAX_GAP_BYTES: usize = 1 << 20;

/// Bytes that a connection may still receive before its answer must make progress.
#[derive(Clone, Debug)]
pub struct Meter(Rc<Cell<usize>>);

impl Meter {
    /// Records that the head of the answer or a part of its body arrived.
    pub fn record_progress(&self) {
        self.0.set(MAX_GAP_BYTES);
    }
}

/// A connection whose received bytes are counted. A request that is written starts the count for the head of its answer.
#[derive(Debug)]
pub struct Metered<T> {
    io: T,
    meter: Meter,
}

impl<T> Metered<T> {
    /// Starts the count of a new connection.
    pub fn new(io: T) -> Metered<T> {
        Metered {
            io,
            meter: Meter(Rc::new(Cell::new(MAX_HEAD_BYTES))),
        }
    }

    /// Returns the count.
    pub fn meter(&self) -> Meter {
        self.meter.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.meter.0.get();
        if left == 0 {
            let error = io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes without progress",
            );
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        let received = buffer.filled().len() - filled;
        self.meter.0.set(left.saturating_sub(received));
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.0.set(MAX_HEAD_BYTES);
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.0.set(MAX_HEAD_BYTES);
        Pin::new(&mut self.io).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

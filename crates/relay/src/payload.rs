//! Bodies of answers to callers.

use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

/// A body that is complete or arrives in chunks.
#[derive(Debug)]
pub enum Payload {
    /// A complete body.
    Whole(Full<Bytes>),
    /// A body in chunks.
    Chunks(Chunks),
}

/// Chunks of a body, until their sender is dropped. The body is truncated unless the sender marked it as complete, so
/// that a task that ends early truncates it as well; the connection is then closed without the body's end.
#[derive(Debug)]
pub struct Chunks {
    receiver: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// Sends the chunks of a body.
#[derive(Debug)]
pub struct Sender {
    sender: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// Creates a body of chunks, `capacity` of which may be queued, and its sender.
pub fn channel(capacity: usize) -> (Sender, Payload) {
    let (sender, receiver) = mpsc::channel(capacity);
    let is_complete = Rc::new(Cell::new(false));
    let chunks = Chunks {
        receiver,
        is_complete: Rc::clone(&is_complete),
    };
    let sender = Sender {
        sender,
        is_complete,
    };
    (sender, Payload::Chunks(chunks))
}

impl Sender {
    /// Sends a chunk; waits while the queue is full.
    pub async fn send(&self, bytes: Bytes) {
        // The receiver is gone if the caller disconnected, which its task notices by itself.
        let _ = self.sender.send(bytes).await;
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Marks the chunks that were sent as the complete body.
    pub fn finish(self) {
        self.is_complete.set(true);
    }
}

/// The error for a body that can't be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was aborted")
    }
}

impl std::error::Error for Aborted {}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Payload {
        Payload::Whole(Full::new(bytes))
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Payload::Whole(whole) => {
                let frame = Pin::new(whole).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Payload::Chunks(chunks) => {
                let chunk = ready!(chunks.receiver.poll_recv(context));
                Poll::Ready(match chunk {
                    Some(bytes) => Some(Ok(Frame::data(bytes))),
                    None if chunks.is_complete.get() => None,
                    None => Some(Err(Aborted)),
                })
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Whole(whole) => whole.size_hint(),
            Payload::Chunks(_) => SizeHint::default(),
        }
    }
}

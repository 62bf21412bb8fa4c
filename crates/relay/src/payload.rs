//! Bodies of answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

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
    /// A body in chunks; an error closes the connection, so that the client sees the truncation.
    Chunks(mpsc::Receiver<Result<Bytes, Aborted>>),
}

/// The error for an answer that can't be completed.
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
                let chunk = chunks.poll_recv(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
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

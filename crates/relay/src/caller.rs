//! The channel from a request's task to its caller.

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::sync::oneshot;

use crate::payload;
use crate::payload::Payload;

/// Chunks of an answer that may be queued for a slow caller.
const CHUNK_QUEUE: usize = 32;

/// The caller's end of the answer.
pub struct Caller {
    stage: Stage,
}

/// Progress of the answer.
enum Stage {
    /// Nothing was sent.
    AwaitingHead(oneshot::Sender<Response<Payload>>),
    /// The head was sent; chunks follow.
    Streaming(payload::Sender),
    /// The answer is complete.
    Done,
    /// The answer is truncated.
    Aborted,
}

impl Caller {
    /// Creates a caller that awaits the head of its answer.
    pub fn new(head: oneshot::Sender<Response<Payload>>) -> Caller {
        Caller {
            stage: Stage::AwaitingHead(head),
        }
    }

    /// Returns whether the head of a stream was sent.
    pub fn is_streaming(&self) -> bool {
        matches!(self.stage, Stage::Streaming(_))
    }

    /// Waits until the caller disconnects, or its answer is truncated; never returns once the answer is complete.
    pub async fn disconnected(&mut self) {
        match &mut self.stage {
            Stage::AwaitingHead(head) => head.closed().await,
            Stage::Streaming(chunks) => chunks.closed().await,
            Stage::Done => std::future::pending().await,
            Stage::Aborted => {}
        }
    }

    /// Sends a complete answer.
    pub fn respond(&mut self, response: Response<Bytes>) {
        if let Stage::AwaitingHead(head) = std::mem::replace(&mut self.stage, Stage::Done) {
            let _ = head.send(response.map(Payload::from));
        }
    }

    /// Sends the head of a stream.
    pub fn start_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        let (sender, payload) = payload::channel(CHUNK_QUEUE);
        let mut response = Response::new(payload);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if let Stage::AwaitingHead(head) =
            std::mem::replace(&mut self.stage, Stage::Streaming(sender))
        {
            let _ = head.send(response);
        }
    }

    /// Sends a chunk of a stream; waits while the caller's queue is full.
    pub async fn send_chunk(&mut self, bytes: Bytes) {
        if let Stage::Streaming(chunks) = &self.stage {
            chunks.send(bytes).await;
        }
    }

    /// Ends a complete stream.
    pub fn finish(&mut self) {
        if let Stage::Streaming(chunks) = std::mem::replace(&mut self.stage, Stage::Done) {
            chunks.finish();
        }
    }

    /// Ends a stream so that the caller can tell that it is truncated.
    pub fn abort(&mut self) {
        self.stage = Stage::Aborted;
    }
}

//! The caller of one request, as its task sees it.

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::payload::Aborted;
use crate::payload::Payload;

/// Pieces of an answer that may wait for a caller that reads slowly.
const CHUNK_QUEUE: usize = 32;

/// Takes the answer.
pub struct Caller {
    stage: Stage,
}

/// How far the answer is.
enum Stage {
    /// Nothing was said.
    AwaitingHead(oneshot::Sender<Response<Payload>>),
    /// The head is out, pieces follow.
    Streaming(mpsc::Sender<Result<Bytes, Aborted>>),
    /// Everything is said.
    Done,
}

impl Caller {
    /// A caller that waits for the head of its answer.
    pub fn new(head: oneshot::Sender<Response<Payload>>) -> Caller {
        Caller {
            stage: Stage::AwaitingHead(head),
        }
    }

    /// Whether it has had the head of its answer.
    pub fn is_streaming(&self) -> bool {
        matches!(self.stage, Stage::Streaming(_))
    }

    /// Waits until the caller is gone; for ever once everything is said.
    pub async fn disconnected(&mut self) {
        match &mut self.stage {
            Stage::AwaitingHead(head) => head.closed().await,
            Stage::Streaming(chunks) => chunks.closed().await,
            Stage::Done => std::future::pending().await,
        }
    }

    /// Gives a whole answer.
    pub fn respond(&mut self, response: Response<Bytes>) {
        if let Stage::AwaitingHead(head) = std::mem::replace(&mut self.stage, Stage::Done) {
            let _ = head.send(response.map(Payload::from));
        }
    }

    /// Gives the head of a stream.
    pub fn start_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        let (sender, chunks) = mpsc::channel(CHUNK_QUEUE);
        let mut response = Response::new(Payload::Chunks(chunks));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if let Stage::AwaitingHead(head) =
            std::mem::replace(&mut self.stage, Stage::Streaming(sender))
        {
            let _ = head.send(response);
        }
    }

    /// Gives a piece of a stream; waits while the caller reads slowly.
    pub async fn send_chunk(&mut self, bytes: Bytes) {
        if let Stage::Streaming(chunks) = &self.stage {
            let _ = chunks.send(Ok(bytes)).await;
        }
    }

    /// Ends a stream that is complete.
    pub fn finish(&mut self) {
        self.stage = Stage::Done;
    }

    /// Ends a stream so that the caller sees that something is missing.
    pub async fn abort(&mut self) {
        if let Stage::Streaming(chunks) = std::mem::replace(&mut self.stage, Stage::Done) {
            let _ = chunks.send(Err(Aborted)).await;
        }
    }
}

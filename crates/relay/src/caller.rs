//! The caller of one request, as its task sees it.

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::payload::BrokenOff;
use crate::payload::Payload;

/// Pieces of an answer that may wait for a caller that reads slowly.
const PIECES_WAITING: usize = 32;

/// Takes the answer.
pub struct Caller {
    stage: Stage,
}

/// How far the answer is.
enum Stage {
    /// Nothing was said.
    Waiting(oneshot::Sender<Response<Payload>>),
    /// The head is out, pieces follow.
    Reading(mpsc::Sender<Result<Bytes, BrokenOff>>),
    /// Everything is said.
    Over,
}

impl Caller {
    /// A caller that waits for the head of its answer.
    pub fn new(head: oneshot::Sender<Response<Payload>>) -> Caller {
        Caller {
            stage: Stage::Waiting(head),
        }
    }

    /// Whether it has had the head of its answer.
    pub fn is_reading(&self) -> bool {
        matches!(self.stage, Stage::Reading(_))
    }

    /// Waits until the caller is gone; for ever once everything is said.
    pub async fn gone(&mut self) {
        match &mut self.stage {
            Stage::Waiting(head) => head.closed().await,
            Stage::Reading(pieces) => pieces.closed().await,
            Stage::Over => std::future::pending().await,
        }
    }

    /// Gives a whole answer.
    pub fn answer(&mut self, response: Response<Bytes>) {
        if let Stage::Waiting(head) = std::mem::replace(&mut self.stage, Stage::Over) {
            let _ = head.send(response.map(Payload::from));
        }
    }

    /// Gives the head of a stream.
    pub fn begin(&mut self, status: StatusCode, headers: HeaderMap) {
        let (sender, pieces) = mpsc::channel(PIECES_WAITING);
        let mut response = Response::new(Payload::Pieces(pieces));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if let Stage::Waiting(head) = std::mem::replace(&mut self.stage, Stage::Reading(sender)) {
            let _ = head.send(response);
        }
    }

    /// Gives a piece of a stream; waits while the caller reads slowly.
    pub async fn piece(&mut self, bytes: Bytes) {
        if let Stage::Reading(pieces) = &self.stage {
            let _ = pieces.send(Ok(bytes)).await;
        }
    }

    /// Ends a stream that is complete.
    pub fn end(&mut self) {
        self.stage = Stage::Over;
    }

    /// Ends a stream so that the caller sees that something is missing.
    pub async fn break_off(&mut self) {
        if let Stage::Reading(pieces) = std::mem::replace(&mut self.stage, Stage::Over) {
            let _ = pieces.send(Err(BrokenOff)).await;
        }
    }
}

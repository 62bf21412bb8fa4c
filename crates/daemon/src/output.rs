//! Where the answer of one model call goes: first its head, then a stream or one whole body.

use std::time::Duration;

use bytes::Bytes;
use front::response;
use front::response::Payload;
use http::Response;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use verdict::Refusal;

/// Chunks that may wait for a slow caller before the engine's stream is held back.
const CHUNKS_WAITING: usize = 1_024;

/// How long a caller may leave its stream unread.
const UNREAD_TIME: Duration = Duration::from_secs(60);

/// The caller's side of one model call.
pub struct Output {
    request: String,
    stage: Stage,
    /// Text of the answer so far, as the engine's chunks; needed to run it again elsewhere.
    chunks: Vec<Bytes>,
    /// Whether the caller wants events.
    stream: bool,
}

/// How far the answer has come.
enum Stage {
    /// The caller waits for the head.
    Head(oneshot::Sender<Response<Payload>>),
    /// The caller reads events.
    Events(mpsc::Sender<Bytes>),
    /// Nothing more can be said.
    Over,
}

impl Output {
    /// An answer that has not begun.
    pub fn new(request: String, stream: bool, head: oneshot::Sender<Response<Payload>>) -> Output {
        Output {
            request,
            stage: Stage::Head(head),
            chunks: Vec::new(),
            stream,
        }
    }

    /// Waits until the caller is gone.
    pub async fn closed(&mut self) {
        match &mut self.stage {
            Stage::Head(head) => head.closed().await,
            Stage::Events(events) => events.closed().await,
            Stage::Over => {}
        }
    }

    /// Gives the head of a stream, or on a stream that has begun the new resume word.
    pub async fn begin(&mut self, token: &str) {
        if !self.stream {
            return;
        }
        if let Stage::Events(_) = &self.stage {
            return self.send(response::resume_event(token)).await;
        }
        let (sender, receiver) = mpsc::channel(CHUNKS_WAITING);
        let head = response::event_stream(&self.request, token, receiver);
        if let Stage::Head(waiting) = std::mem::replace(&mut self.stage, Stage::Events(sender)) {
            let _ = waiting.send(head);
        }
    }

    /// Passes one chunk on.
    pub async fn chunk(&mut self, offset: u64, data: Bytes) {
        if self.stream {
            let text = String::from_utf8_lossy(&data);
            self.send(response::chunk_event(offset, &text)).await;
        }
        self.chunks.push(data);
    }

    /// Ends a whole answer.
    pub async fn done(&mut self) {
        if self.stream {
            self.send(response::done_event()).await;
            self.stage = Stage::Over;
            return;
        }
        let body = json!({
            "id": self.request,
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text()},
                "finish_reason": "stop",
            }],
            "usage": {"completion_tokens": self.chunks.len()},
        });
        let response = response::completed(&self.request, response::json(&body));
        self.respond(response);
    }

    /// Gives the final word on a request that isn't answered in full.
    pub async fn refuse(&mut self, refusal: &Refusal) {
        if let Stage::Events(_) = &self.stage {
            self.send(response::error_event(&self.request, refusal))
                .await;
            self.stage = Stage::Over;
            return;
        }
        self.respond(response::refusal(&self.request, refusal));
    }

    /// Ends the stream here; it goes on at `address`.
    pub async fn hand_off(&mut self, address: &str, token: &str) {
        self.send(response::continue_event(address, token)).await;
        self.stage = Stage::Over;
    }

    /// The answer's text so far.
    pub fn text(&self) -> String {
        self.chunks.iter().map(content_of).collect()
    }

    /// Answers a caller that waits for the head.
    fn respond(&mut self, response: Response<Payload>) {
        if let Stage::Head(waiting) = std::mem::replace(&mut self.stage, Stage::Over) {
            let _ = waiting.send(response);
        }
    }

    /// Sends bytes of the stream. A caller that leaves them unread for too long counts as gone.
    async fn send(&mut self, bytes: Bytes) {
        let Stage::Events(events) = &self.stage else {
            return;
        };
        let sent = tokio::time::timeout(UNREAD_TIME, events.send(bytes)).await;
        if sent.is_err() {
            self.stage = Stage::Over;
        }
    }
}

/// The text of one chunk.
fn content_of(data: &Bytes) -> String {
    let value: Value = serde_json::from_slice(data).unwrap_or_default();
    let content = value["choices"][0]["delta"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}

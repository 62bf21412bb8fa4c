//! Response to one model call: its head, then a stream of events or a single body.

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

/// Maximum chunks buffered for a slow caller before the engine's stream is paused.
const MAX_QUEUED_CHUNKS: usize = 1_024;

/// Timeout for a caller to read from its stream.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Response to one model call.
pub struct Output {
    request: String,
    stage: Stage,
    /// Chunks of the answer so far, which a rerun elsewhere needs as text.
    chunks: Vec<Bytes>,
    /// Whether the caller asked for a stream of events.
    stream: bool,
}

/// Progress of the response.
enum Stage {
    /// The head has not been sent.
    Head(oneshot::Sender<Response<Payload>>),
    /// The caller reads a stream of events.
    Events(mpsc::Sender<Bytes>),
    /// The response has ended.
    Ended,
}

impl Output {
    /// Creates a response that has not begun.
    pub fn new(request: String, stream: bool, head: oneshot::Sender<Response<Payload>>) -> Output {
        Output {
            request,
            stage: Stage::Head(head),
            chunks: Vec::new(),
            stream,
        }
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        match &mut self.stage {
            Stage::Head(head) => head.closed().await,
            Stage::Events(events) => events.closed().await,
            Stage::Ended => {}
        }
    }

    /// Sends the head of a stream, or the new resume token if the stream has begun.
    pub async fn begin_stream(&mut self, token: &str) {
        if !self.stream {
            return;
        }
        if let Stage::Events(_) = &self.stage {
            return self.send(response::resume_event(token)).await;
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let head = response::event_stream(&self.request, token, receiver);
        if let Stage::Head(waiting) = std::mem::replace(&mut self.stage, Stage::Events(sender)) {
            let _ = waiting.send(head);
        }
    }

    /// Sends one chunk.
    pub async fn send_chunk(&mut self, offset: u64, data: Bytes) {
        if self.stream {
            let text = String::from_utf8_lossy(&data);
            self.send(response::chunk_event(offset, &text)).await;
        }
        self.chunks.push(data);
    }

    /// Finishes a complete answer.
    pub async fn finish(&mut self) {
        if self.stream {
            self.send(response::done_event()).await;
            self.stage = Stage::Ended;
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

    /// Ends the response with a refusal.
    pub async fn refuse(&mut self, refusal: &Refusal) {
        if let Stage::Events(_) = &self.stage {
            self.send(response::error_event(&self.request, refusal))
                .await;
            self.stage = Stage::Ended;
            return;
        }
        self.respond(response::refusal(&self.request, refusal));
    }

    /// Ends the stream with a redirect to `address`.
    pub async fn hand_off(&mut self, address: &str, token: &str) {
        self.send(response::continue_event(address, token)).await;
        self.stage = Stage::Ended;
    }

    /// Returns the text of the answer so far.
    pub fn text(&self) -> String {
        self.chunks.iter().map(content_of).collect()
    }

    /// Sends a complete response if the head has not been sent.
    fn respond(&mut self, response: Response<Payload>) {
        if let Stage::Head(waiting) = std::mem::replace(&mut self.stage, Stage::Ended) {
            let _ = waiting.send(response);
        }
    }

    /// Sends bytes of the stream; a caller that doesn't read them in time counts as disconnected.
    async fn send(&mut self, bytes: Bytes) {
        let Stage::Events(events) = &self.stage else {
            return;
        };
        let sent = tokio::time::timeout(UNREAD_TIMEOUT, events.send(bytes)).await;
        if sent.is_err() {
            self.stage = Stage::Ended;
        }
    }
}

/// Returns the text of one chunk.
fn content_of(data: &Bytes) -> String {
    let value: Value = serde_json::from_slice(data).unwrap_or_default();
    let content = value["choices"][0]["delta"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}

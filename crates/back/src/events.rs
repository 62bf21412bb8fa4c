//! Parser for the server-sent events of a model engine.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::failure::Failure;

/// Largest event accepted from an engine, bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// One token.
    Token {
        /// Offset within the engine's stream.
        offset: u64,
        /// JSON to forward.
        data: Bytes,
    },
    /// End of a complete answer.
    Done,
}

/// Reads events from a response body.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    buffer: BytesMut,
}

impl Events {
    /// Creates a reader of `body`.
    pub fn new(body: Incoming) -> Events {
        Events {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next event. A stream that ends without [`Chunk::Done`] is [`Failure::Broken`].
    pub async fn next(&mut self) -> Result<Chunk, Failure> {
        loop {
            while let Some(event) = self.take_event() {
                if let Some(chunk) = parse_event(&event) {
                    return Ok(chunk);
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Failure::Broken);
            }
            let Some(Ok(frame)) = self.body.frame().await else {
                return Err(Failure::Broken);
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Removes the first whole event from the buffer.
    fn take_event(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        Some(self.buffer.split_to(end + 2).freeze())
    }
}

/// Parses an event; returns none for an unknown one.
fn parse_event(event: &Bytes) -> Option<Chunk> {
    let mut offset = None;
    let mut data = None;
    let mut start = 0;
    for line in event.split(|byte| *byte == b'\n') {
        let end = start + line.len();
        if let Some(text) = line.strip_prefix(b"id: ") {
            offset = std::str::from_utf8(text).ok()?.trim().parse().ok();
        } else if line.starts_with(b"data: ") {
            data = Some(event.slice(start + b"data: ".len()..end));
        }
        start = end + 1;
    }
    let data = data?;
    if data.as_ref() == b"[DONE]" {
        return Some(Chunk::Done);
    }
    Some(Chunk::Token {
        offset: offset?,
        data,
    })
}

//! Parser for the server-sent events of a model engine.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::failure::Failure;
use crate::http_client::classify_read;

/// Largest event accepted from an engine, and most bytes accepted without a token or the end, bytes. An engine that
/// sends comments without end would otherwise hold the stream.
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
    /// Length of the prefix that is known to hold no boundary.
    searched: usize,
    /// Bytes of unknown events since the last token.
    unknown_bytes: usize,
}

impl Events {
    /// Creates a reader of `body`.
    pub fn new(body: Incoming) -> Events {
        Events {
            body,
            buffer: BytesMut::new(),
            searched: 0,
            unknown_bytes: 0,
        }
    }

    /// Returns the next event. A stream that ends without [`Chunk::Done`] is [`Failure::Broken`], and one with too many
    /// bytes that are no event is [`Failure::Invalid`]. There is no time limit: the caller drops a stream that takes too
    /// long, as the daemon does after its time limit for requests (`callers.request_timeout_ms`).
    pub async fn next(&mut self) -> Result<Chunk, Failure> {
        loop {
            while let Some(event) = self.take_event() {
                if let Some(chunk) = parse_event(&event) {
                    self.unknown_bytes = 0;
                    return Ok(chunk);
                }
                self.unknown_bytes += event.len();
            }
            if self.buffer.len() + self.unknown_bytes > MAX_EVENT_BYTES {
                return Err(Failure::Invalid);
            }
            let frame = self.body.frame().await.ok_or(Failure::Broken)?;
            let frame = frame.map_err(|error| classify_read(&error))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Removes the first whole event from the buffer.
    fn take_event(&mut self) -> Option<Bytes> {
        let unsearched = &self.buffer[self.searched..];
        let Some(position) = unsearched.windows(2).position(|pair| pair == b"\n\n") else {
            self.searched = self.buffer.len().saturating_sub(1);
            return None;
        };
        let end = self.searched + position;
        self.searched = 0;
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

//! Server-sent events of a model engine, as they arrive.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::failure::Failure;

/// Longest event that is taken from an engine.
const EVENT_BYTES: usize = 1024 * 1024;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// One token.
    Token {
        /// Its offset within the engine's stream.
        offset: u64,
        /// The JSON text to pass on.
        data: Bytes,
    },
    /// The engine's word that the answer is whole.
    Done,
}

/// Reads events from the body of an answer.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    buffer: BytesMut,
}

impl Events {
    /// Events of this body.
    pub fn new(body: Incoming) -> Events {
        Events {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// The next event. A stream that ends without [`Chunk::Done`] is [`Failure::Broken`].
    pub async fn next(&mut self) -> Result<Chunk, Failure> {
        loop {
            while let Some(event) = self.take_event() {
                if let Some(chunk) = parse_event(&event) {
                    return Ok(chunk);
                }
            }
            if self.buffer.len() > EVENT_BYTES {
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

    /// Cuts the first whole event off the buffer.
    fn take_event(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        Some(self.buffer.split_to(end + 2).freeze())
    }
}

/// The chunk of an event, if it is one that we know.
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

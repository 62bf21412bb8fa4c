//! Splits a stream of server-sent events at their boundaries.

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// Largest event that is buffered until it is complete.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of a stream and yields complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the prefix that is known to hold no boundary.
    searched: usize,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's id, if it has one.
    pub id: Option<SmolStr>,
    /// Whether it carries data. Comments don't, nor do other blocks that a reader discards.
    pub has_data: bool,
    /// The event's bytes, including the empty line at its end.
    pub bytes: Bytes,
}

/// The error for an event that exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Event {
    /// Returns the event's lines of data.
    pub fn data_lines(&self) -> impl Iterator<Item = &[u8]> {
        data_lines(&self.bytes)
    }
}

impl Splitter {
    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next(&mut self) -> Option<Event> {
        let end = self.boundary()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let has_data = data_lines(&bytes).next().is_some();
        Some(Event {
            id: event_id(&bytes),
            has_data,
            bytes,
        })
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the end of the first event, which is after an empty line.
    fn boundary(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let bytes = &self.buffer[start..];
        for offset in 0..bytes.len() {
            let rest = &bytes[offset..];
            if rest.starts_with(b"\n\n") {
                return Some(start + offset + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(start + offset + 3);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns an event's lines of data.
fn data_lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = bytes.split(|byte| matches!(*byte, b'\n' | b'\r'));
    lines.filter(|line| *line == b"data" || line.starts_with(b"data:"))
}

/// Returns the id of an event.
fn event_id(bytes: &[u8]) -> Option<SmolStr> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(SmolStr::new(text.trim()))
}

//! Splits a stream of server-sent events at their borders.

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// Largest event that is kept until it is whole.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes of a stream, of which whole events are taken.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Up to here no border was found.
    searched: usize,
}

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its name, if it has one.
    pub id: Option<SmolStr>,
    /// Its bytes, the border included.
    pub bytes: Bytes,
}

/// An event is larger than may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Splitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event.
    pub fn next(&mut self) -> Option<Event> {
        let end = self.boundary()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an event are left that has not ended.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Where the first event ends: behind an empty line.
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

/// The name in an event's bytes.
fn event_id(bytes: &[u8]) -> Option<SmolStr> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(SmolStr::new(text.trim()))
}

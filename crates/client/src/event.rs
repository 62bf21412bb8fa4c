//! Incremental parser for server-sent events.

use smol_str::SmolStr;

/// Largest event that is accepted, bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Event name; empty for a chunk.
    pub name: SmolStr,
    /// Offset of the chunk, if any.
    pub id: Option<u64>,
    /// Data of the event.
    pub data: String,
}

/// Buffer of bytes that don't form a whole event yet.
#[derive(Default)]
pub struct Parser {
    buffer: Vec<u8>,
}

/// Error for an event above the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Parser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        Ok(())
    }

    /// Returns the next whole event, skipping blocks that hold only comments.
    pub fn take(&mut self) -> Option<Event> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            if let Some(event) = parse_block(&String::from_utf8_lossy(&block)) {
                return Some(event);
            }
        }
    }
}

fn parse_block(block: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut has_fields = false;
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => event.name = SmolStr::from(value),
            "id" => event.id = value.parse().ok(),
            "data" if event.data.is_empty() => event.data = value.to_owned(),
            "data" => {
                event.data.push('\n');
                event.data.push_str(value);
            }
            _ => continue,
        }
        has_fields = true;
    }
    has_fields.then_some(event)
}

//! Server-sent events of a streamed answer, cut out of bytes as they arrive.

use smol_str::SmolStr;

/// Most bytes of one event; more is a fault of the sender.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its kind; empty for a chunk.
    pub name: SmolStr,
    /// Its offset, where it has one.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
}

/// Bytes that are not a whole event yet.
#[derive(Default)]
pub struct Parser {
    buffer: Vec<u8>,
}

/// An event that is larger than any the protocol knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Parser {
    /// Takes bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        Ok(())
    }

    /// The next whole event; comments alone make none.
    pub fn take(&mut self) -> Option<Event> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            if let Some(event) = read(&String::from_utf8_lossy(&block)) {
                return Some(event);
            }
        }
    }
}

fn read(block: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut seen = false;
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
        seen = true;
    }
    seen.then_some(event)
}

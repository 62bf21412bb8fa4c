//! What answers hold, so that callers can tell whether they got theirs.

/// Begins the path of streams.
const STREAMS: &str = "/chat/";

/// A stream, as its path names it: `/chat/NAME/EVENTS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Its name, in each of its events.
    pub name: String,
    /// How many events it has.
    pub events: u64,
}

impl Stream {
    /// The stream that a path asks for.
    pub fn of(path: &str) -> Option<Stream> {
        let (name, events) = path.strip_prefix(STREAMS)?.split_once('/')?;
        Some(Stream {
            name: name.to_owned(),
            events: events.parse().ok()?,
        })
    }

    /// The path that asks for it.
    pub fn path(&self) -> String {
        format!("{STREAMS}{}/{}", self.name, self.events)
    }

    /// One event, whole.
    pub fn event(&self, number: u64) -> String {
        format!("id: {number}\ndata: {}-{number}\n\n", self.name)
    }
}

/// The body of the answer to a plain call.
pub fn body_of(attempt: &str) -> String {
    format!("done {attempt}")
}

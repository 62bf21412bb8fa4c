//! Contents of answers, by which callers verify that an answer is theirs.

/// Path prefix of streams.
const STREAM_PREFIX: &str = "/chat/";

/// A stream, encoded in its path as `/chat/NAME/EVENTS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Name of the stream, contained in each of its events.
    pub name: String,
    /// Number of events.
    pub events: u64,
}

impl Stream {
    /// Parses the path of a request for a stream.
    pub fn parse(path: &str) -> Option<Stream> {
        let (name, events) = path.strip_prefix(STREAM_PREFIX)?.split_once('/')?;
        Some(Stream {
            name: name.to_owned(),
            events: events.parse().ok()?,
        })
    }

    /// Returns the path that requests the stream.
    pub fn path(&self) -> String {
        format!("{STREAM_PREFIX}{}/{}", self.name, self.events)
    }

    /// Returns the text of one event as a software version generates it.
    pub fn event(&self, number: u64, version: &str) -> String {
        format!("id: {number}\ndata: {}-{number}@{version}\n\n", self.name)
    }
}

/// Returns the software version that generated an event.
pub fn version_of(event: &str) -> Option<&str> {
    Some(event.trim_end().rsplit_once('@')?.1)
}

/// Returns the body of the answer to a plain call.
pub fn call_body(attempt: &str) -> String {
    format!("done {attempt}")
}

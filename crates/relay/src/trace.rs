//! What an entry saw of a stream that it relayed, for the log.
//!
//! One line for each attempt tells how the stream's end was marked, on which kind of connection it came, and which
//! events were relayed, dropped or missing.

use gateway::attempt::End;
use gateway::effect::Start;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use log::Level;
use smol_str::SmolStr;

use crate::pool::Connection;

/// What marks the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delimiter {
    /// Its length.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which a crash of the server brings about as well.
    Connection,
}

impl Delimiter {
    /// Returns what marks the end of an answer with these headers.
    pub fn of(headers: &HeaderMap) -> Delimiter {
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        if last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            Delimiter::Chunks
        } else if last.is_some() {
            Delimiter::Connection
        } else if headers.contains_key(CONTENT_LENGTH) {
            Delimiter::Length
        } else {
            Delimiter::Connection
        }
    }

    /// Returns the form used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Delimiter::Length => "length",
            Delimiter::Chunks => "chunks",
            Delimiter::Connection => "connection",
        }
    }
}

/// The events of one attempt.
#[derive(Clone, Debug)]
pub struct Trace {
    /// What marks the end of the stream.
    pub delimiter: Delimiter,
    /// Whether an earlier request used the connection.
    is_reused: bool,
    /// `host:port` of the entry through which the connection leads.
    proxy: Option<SmolStr>,
    first: Option<SmolStr>,
    last: Option<SmolStr>,
    events: u32,
    /// Events that the caller already had.
    pub duplicates: u32,
    /// Events that follow a number lower than the one before theirs.
    gaps: u32,
    /// Id of the event at which the attempt ended, since it doesn't follow those that the caller has.
    pub misplaced: Option<SmolStr>,
}

impl Trace {
    /// Starts the trace of a stream with this head.
    pub fn new(headers: &HeaderMap, connection: &Connection) -> Trace {
        Trace {
            delimiter: Delimiter::of(headers),
            is_reused: connection.used,
            proxy: connection.proxy().cloned(),
            first: None,
            last: None,
            events: 0,
            duplicates: 0,
            gaps: 0,
            misplaced: None,
        }
    }

    /// Records an event that is relayed after the one with the id `before`.
    pub fn record_event(&mut self, before: Option<&str>, id: Option<&SmolStr>) {
        self.events += 1;
        let Some(id) = id else {
            return;
        };
        let number = |id: &str| id.parse::<u64>().ok();
        let skips = number(id).zip(before.and_then(number));
        self.gaps += u32::from(skips.is_some_and(|(id, before)| id > before.saturating_add(1)));
        self.first.get_or_insert_with(|| id.clone());
        self.last = Some(id.clone());
    }

    /// Returns whether no event came.
    pub fn is_empty(&self) -> bool {
        self.events == 0 && self.duplicates == 0
    }

    /// Logs the stream's end; `None` if its caller disconnected or another command arrived.
    pub fn log(&self, request: &str, start: &Start, end: Option<&End>) {
        let is_whole = matches!(end, Some(End::Finished { .. }));
        let is_usual = is_whole && self.delimiter != Delimiter::Connection;
        let level =
            match is_usual && self.duplicates == 0 && self.gaps == 0 && self.misplaced.is_none() {
                true => Level::Debug,
                false => Level::Info,
            };
        log::log!(
            level,
            event = "stream_relayed",
            request = request,
            attempt = start.attempt,
            replica = start.endpoint.incarnation.as_str(),
            whole = is_whole,
            delimiter = self.delimiter.as_str(),
            reused = self.is_reused,
            proxy = self.proxy.as_deref().unwrap_or_default(),
            events = self.events,
            first = self.first.as_deref().unwrap_or_default(),
            last = self.last.as_deref().unwrap_or_default(),
            duplicates = self.duplicates,
            gaps = self.gaps,
            misplaced = self.misplaced.as_deref().unwrap_or_default();
            ""
        );
    }
}

//! Reads bodies of answers within limits.

use std::error::Error;
use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use intake::answers;
use intake::answers::Answers;

use crate::meter::Meter;

/// Largest answer that is buffered until it is complete, or discarded to use its connection again.
pub const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// The reason why a body can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection broke.
    Disconnected,
    /// The server sent what is no answer, or more than an answer may have.
    Invalid,
    /// There is no room for the answer.
    NoRoom,
}

impl Fault {
    /// Classifies an error of the HTTP library.
    pub fn new(error: &hyper::Error) -> Fault {
        let source = error.source().and_then(|source| source.downcast_ref());
        let kind = source.map(io::Error::kind);
        let is_invalid = matches!(
            kind,
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        );
        match error.is_parse() || is_invalid {
            true => Fault::Invalid,
            false => Fault::Disconnected,
        }
    }
}

/// Reads the next data of a body; `None` at its end.
pub async fn read(body: &mut Incoming, meter: &Meter) -> Result<Option<Bytes>, Fault> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Fault::new(&error))?;
        if let Ok(bytes) = frame.into_data() {
            meter.record_progress();
            return Ok(Some(bytes));
        }
    }
    Ok(None)
}

/// Reads a whole body of at most `limit` bytes, which stays counted until its last part is dropped.
pub async fn collect(
    mut body: Incoming,
    meter: &Meter,
    answers: &Answers,
    limit: usize,
) -> Result<Bytes, Fault> {
    let mut collector = answers.collector(limit);
    while let Some(bytes) = read(&mut body, meter).await? {
        let pushed = collector.push(&bytes).await;
        pushed.map_err(|fault| match fault {
            answers::Fault::TooLarge => Fault::Invalid,
            answers::Fault::NoRoom => Fault::NoRoom,
        })?;
    }
    Ok(collector.finish())
}

/// Reads an unneeded body to its end.
pub async fn discard(mut body: Incoming, meter: &Meter) -> Result<(), Fault> {
    let mut discarded = 0;
    while let Some(bytes) = read(&mut body, meter).await? {
        discarded += bytes.len();
        if discarded > MAX_BUFFERED_BYTES {
            return Err(Fault::Invalid);
        }
    }
    Ok(())
}

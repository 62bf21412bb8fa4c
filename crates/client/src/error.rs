//! Why a request was not answered in full, and whether it may have run.

use std::fmt;

use clock::Span;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Verdict;

/// The end of a request that is not a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Whether the request may have run; a non-idempotent one is sent again only on `NotRun`.
    pub verdict: Verdict,
    /// What went wrong.
    pub kind: Kind,
    /// When to come back, where that helps.
    pub retry_after: Option<Span>,
    /// One sentence for a person.
    pub message: SmolStr,
    /// The request's id at the entry, where it got one.
    pub request: SmolStr,
}

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The system refused the request or gave it up.
    Refused(Reason),
    /// No known entry could be reached.
    Unreachable,
    /// The connection was lost before the answer was whole.
    ConnectionLost,
    /// An answer did not follow the protocol.
    Protocol,
    /// The request itself can't be sent as it is.
    Request,
}

impl Error {
    /// An end without retry-after and without a request id.
    pub fn new(verdict: Verdict, kind: Kind, message: impl Into<SmolStr>) -> Error {
        Error {
            verdict,
            kind,
            retry_after: None,
            message: message.into(),
            request: SmolStr::default(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.message, self.verdict)?;
        if let Kind::Refused(reason) = self.kind {
            write!(formatter, ", reason {reason}")?;
        }
        if let Some(span) = self.retry_after {
            write!(formatter, ", come back in {span}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

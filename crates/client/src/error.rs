//! Errors of requests, and whether the request may have run.

use std::fmt;

use clock::Span;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Verdict;

/// Error that ends a request without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Whether the request may have run; a non-idempotent one is retried only on `NotRun`.
    pub verdict: Verdict,
    /// Cause of the error.
    pub kind: Kind,
    /// Delay before a retry, if one may succeed.
    pub retry_after: Option<Span>,
    /// Human-readable description.
    pub message: SmolStr,
    /// Id of the request at the entry, if it got one.
    pub request: SmolStr,
}

/// Cause of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The system refused the request or gave up on it.
    Refused(Reason),
    /// No known entry is reachable.
    Unreachable,
    /// The connection was lost before the response was complete.
    ConnectionLost,
    /// A response violates the protocol.
    Protocol,
    /// The request is invalid and can't be sent.
    Request,
}

impl Error {
    /// Creates an error without a retry delay and a request id.
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
        if let Some(delay) = self.retry_after {
            write!(formatter, ", retry after {delay}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

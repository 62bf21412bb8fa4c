//! Whether a refused request may have run, and why it was refused.
//!
//! Every request that ends without a complete answer ends with a [`Refusal`]. Callers rely on its
//! [`Verdict`] to decide whether they may retry a non-idempotent request.

use std::fmt;

use clock::Span;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What is known about a request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request ran and was answered completely.
    Done,
    /// No byte of the request reached a backend server, or the server reported that it did not start it.
    NotRun,
    /// The request was sent to a backend server and its outcome is unknown.
    MayHaveRun,
}

impl Verdict {
    /// Returns the form used in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::Done => "done",
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }

    /// Parses the form that [`Verdict::as_str`] returns.
    pub fn parse(text: &str) -> Option<Verdict> {
        match text {
            "done" => Some(Verdict::Done),
            "not-run" => Some(Verdict::NotRun),
            "may-have-run" => Some(Verdict::MayHaveRun),
            _ => None,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request was not answered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// The request exceeds a size limit.
    TooLarge,
    /// The API key is missing or belongs to no account.
    Unauthorized,
    /// The account may not use the requested resource.
    Forbidden,
    /// The deployment, stream or path doesn't exist.
    Unknown,
    /// The account exceeds its own limit.
    OverLimit,
    /// The latency target can't be met now.
    Overloaded,
    /// No backend server is available.
    NoBackend,
    /// This entry is shutting down.
    Leaving,
    /// This entry has no configuration yet, or its configuration is too old to rely on.
    NotReady,
    /// The request depends on the table service, which did not answer.
    StoreUnavailable,
    /// The ticket or idempotency key was used before.
    Repeated,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The backend server failed while it ran the request.
    BackendFailed,
    /// The request's timeout has expired.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}

impl Reason {
    /// Returns the form used in response bodies and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::TooLarge => "too-large",
            Reason::Unauthorized => "unauthorized",
            Reason::Forbidden => "forbidden",
            Reason::Unknown => "unknown",
            Reason::OverLimit => "over-limit",
            Reason::Overloaded => "overloaded",
            Reason::NoBackend => "no-backend",
            Reason::Leaving => "leaving",
            Reason::NotReady => "not-ready",
            Reason::StoreUnavailable => "store-unavailable",
            Reason::Repeated => "repeated",
            Reason::Quarantined => "quarantined",
            Reason::BackendFailed => "backend-failed",
            Reason::TimedOut => "timed-out",
            Reason::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Result of a request that was not answered completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// Time after which a retry may succeed; `None` if a retry doesn't help.
    pub retry_after: Option<Span>,
    /// One sentence for the caller; contains no key and no prompt text.
    pub message: SmolStr,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<SmolStr>) -> Refusal {
        Refusal {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Creates the refusal of a request that was sent and whose outcome is unknown.
    pub fn may_have_run(reason: Reason, message: impl Into<SmolStr>) -> Refusal {
        Refusal {
            verdict: Verdict::MayHaveRun,
            ..Refusal::not_run(reason, message)
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, span: Span) -> Refusal {
        self.retry_after = Some(span);
        self
    }
}

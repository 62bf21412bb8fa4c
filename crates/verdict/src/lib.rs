//! Whether a request may have run, and why it was refused.
//!
//! Every end of a request that is not a whole answer carries a [`Refusal`]. Its [`Verdict`] is what
//! a caller may rely on when it decides whether to send a non-idempotent request again.

use std::fmt;

use clock::Span;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// What is known of a request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request ran and its whole answer was given.
    Done,
    /// No byte of the request reached a backend server, or that server said it did not start it.
    NotRun,
    /// The request was handed on and its end is not known.
    MayHaveRun,
}

impl Verdict {
    /// The form used in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Verdict::Done => "done",
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }

    /// Reads the form that [`Verdict::as_str`] gives.
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

/// Why a request was not answered in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// The request is larger than the limit.
    TooLarge,
    /// The key is missing or belongs to no account.
    Unauthorized,
    /// The account may not use what it asked for.
    Forbidden,
    /// No such deployment, stream or path.
    Unknown,
    /// The account is over its own limit.
    OverLimit,
    /// The latency target can't be met now.
    Overloaded,
    /// No backend server is there to run it.
    NoBackend,
    /// This entry is leaving.
    Leaving,
    /// This entry does not yet hold a configuration, or may no longer rely on it.
    NotReady,
    /// The table service did not answer and the request depends on it.
    StoreUnavailable,
    /// The ticket or idempotency key was used before.
    Repeated,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The backend server failed while it ran the request.
    BackendFailed,
    /// The time allowed for the request has passed.
    TimedOut,
    /// The caller cancelled it.
    Cancelled,
}

impl Reason {
    /// The form used in bodies and logs.
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

/// The final word on a request that was not answered in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// When coming back helps; absent where it doesn't.
    pub retry_after: Option<Span>,
    /// One sentence for a person; holds no key and no prompt text.
    pub message: SmolStr,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<SmolStr>) -> Refusal {
        Refusal {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
            message: message.into(),
        }
    }

    /// The end of a request that was handed on and whose outcome is not known.
    pub fn may_have_run(reason: Reason, message: impl Into<SmolStr>) -> Refusal {
        Refusal {
            verdict: Verdict::MayHaveRun,
            ..Refusal::not_run(reason, message)
        }
    }

    /// The same refusal with a time to come back after.
    pub fn with_retry_after(mut self, span: Span) -> Refusal {
        self.retry_after = Some(span);
        self
    }
}

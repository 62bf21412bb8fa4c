//! Retry policy and backoff.
//!
//! A refusal carries a retry delay if a retry may succeed. The client adds its own jitter, because
//! otherwise all callers refused together would retry together.

use clock::Span;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use verdict::Reason;
use verdict::Verdict;

use crate::error::Error;
use crate::error::Kind;

/// Jitter added to a retry delay, as a share of it. The entry already spreads its delays; a quarter
/// separates callers with equal delays at little cost.
const JITTER: f64 = 0.25;

/// Backoff after the second consecutive failure; doubles with each further one.
const BASE_BACKOFF: Span = Span::from_millis(50);

/// Most doublings of [`BASE_BACKOFF`], which bounds the backoff to 1.6 s.
const MAX_DOUBLINGS: u32 = 5;

/// Whether a request may be sent twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The request may run twice: it is retried after any transient failure.
    Idempotent,
    /// The request must not run twice: it is retried only on the verdict `NotRun`.
    OnlyNotRun,
}

/// Returns the delay before the next attempt, or none if the error is final.
pub fn delay(error: &Error, policy: Policy, failed: u32, random: &mut Pcg64Mcg) -> Option<Span> {
    if policy == Policy::OnlyNotRun && error.verdict != Verdict::NotRun {
        return None;
    }
    if let Some(span) = error.retry_after {
        let jitter = random.random_range(0.0..JITTER);
        return Some(span.scaled(1.0 + jitter));
    }
    match error.kind {
        Kind::Refused(Reason::Leaving | Reason::NotReady) => Some(backoff(failed, random)),
        Kind::Refused(_) | Kind::Request => None,
        Kind::Unreachable | Kind::ConnectionLost | Kind::Protocol => Some(backoff(failed, random)),
    }
}

/// Returns a jittered exponential backoff; the first retry goes to another entry immediately.
fn backoff(failed: u32, random: &mut Pcg64Mcg) -> Span {
    if failed <= 1 {
        return Span::ZERO;
    }
    let doublings = (failed - 2).min(MAX_DOUBLINGS);
    let bound = BASE_BACKOFF.times(1 << doublings);
    bound.scaled(random.random_range(0.5..1.0))
}

//! Whether and when a failed try is repeated.
//!
//! A refusal names a time to come back where that helps. Without jitter of the client's own, all
//! callers that were refused together would come back together.

use clock::Span;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use verdict::Reason;
use verdict::Verdict;

use crate::error::Error;
use crate::error::Kind;

/// Jitter added to a retry-after, as a share of it. The entry has spread its answers already; a
/// quarter keeps callers with equal answers apart and costs them little.
const JITTER: f64 = 0.25;

/// First wait after a failed connection; doubles with each further one.
const BASE_BACKOFF: Span = Span::from_millis(50);

/// Most doublings of [`BASE_BACKOFF`]: 1.6 s.
const MAX_DOUBLINGS: u32 = 5;

/// Whether a request may be sent twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// It may run twice: repeated after any failure that coming back can mend.
    Idempotent,
    /// It must not run twice: repeated on the verdict `NotRun` alone.
    OnlyNotRun,
}

/// The wait before the next try, or none if there should be none.
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

/// Full jitter over a doubling bound; the first repeat goes to another entry at once.
fn backoff(failed: u32, random: &mut Pcg64Mcg) -> Span {
    if failed <= 1 {
        return Span::ZERO;
    }
    let doublings = (failed - 2).min(MAX_DOUBLINGS);
    let bound = BASE_BACKOFF.times(1 << doublings);
    bound.scaled(random.random_range(0.5..1.0))
}

//! Bounds of the promises.

use clock::Span;

/// Bounds within which promises must hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time after a fault for which its target still counts as disturbed: work from during it may be in flight.
    pub contact: Span,
    /// Time after a route's timeout by which the final answer must arrive.
    pub late: Span,
    /// Time after a replica's notice of leaving within which it may still get requests.
    pub drain: Span,
    /// Time by which every entry applies a new version of the configuration.
    pub apply: Span,
    /// Grace period of an entry that is asked to stop.
    pub grace: Span,
    /// Time for which work may go on after its caller has left.
    pub leave: Span,
    /// Time after the last fault by which callers are served as before.
    pub recover: Span,
    /// Least share of attempts that is served after recovery.
    pub served: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact: Span::from_millis(3_000),
            late: Span::from_millis(500),
            drain: Span::from_millis(2_000),
            apply: Span::from_millis(2_000),
            grace: Span::from_millis(4_000),
            leave: Span::from_millis(500),
            recover: Span::from_millis(6_000),
            served: 0.95,
        }
    }
}

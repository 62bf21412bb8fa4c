//! What the system promises, in figures.

use clock::Span;

/// The bounds that are checked.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An entry, a replica or the table service counts as disturbed for so long before and after a fault:
    /// what it took in meanwhile may still be on its way.
    pub contact: Span,
    /// A final answer may come so long after the time limit of its route.
    pub late: Span,
    /// A replica that says that it leaves gets requests for so long at most.
    pub drain: Span,
    /// A new version of the configuration holds everywhere after so long.
    pub apply: Span,
    /// An entry that was asked to stop has so long.
    pub grace: Span,
    /// Work goes on for so long at most after its caller has left.
    pub leave: Span,
    /// After the last fault, so long until callers are served as before.
    pub recover: Span,
    /// Least share of attempts that is served then.
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

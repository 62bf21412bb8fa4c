//! Settings of the scheduler's placement.

use clock::Span;

/// How a replica is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Entries that share the replicas: each may always use its equal part of the slots.
    pub entries: u32,
    /// Queue heads looked at when the first can't be placed.
    pub heads: usize,
    /// Replicas looked at for one job.
    pub candidates: usize,
    /// How long a job whose caller already has its first token waits for a place after a crash.
    pub patience: Span,
}

impl Default for Placement {
    fn default() -> Placement {
        Placement {
            entries: 8,
            heads: 8,
            candidates: 16,
            patience: Span::from_seconds(30),
        }
    }
}

//! Settings of the scheduler's placement.

use clock::Span;

/// Which modules take part in the choice of a replica, and how far it looks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Off, the least loaded replica is taken whatever the prefix.
    pub affinity: bool,
    /// Off, every replica takes what it has slots for by our own count.
    pub concurrency: bool,
    /// Off, no replica is ejected.
    pub health: bool,
    /// Off, a killer request is tried like any other.
    pub quarantine: bool,
    /// Queue heads looked at when the first can't be placed: enough that one account's suspects or
    /// retried jobs don't block the others, few enough that a decision stays short.
    pub heads: usize,
    /// How long a job whose caller already has its first token waits for a place after a crash.
    pub patience: Span,
    /// One of this many replicas of a pool, at most, is kept free for suspects at once.
    pub trial_share: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            affinity: true,
            concurrency: true,
            health: true,
            quarantine: true,
            heads: 8,
            patience: Span::from_seconds(30),
            trial_share: 4,
        }
    }
}

//! Settings of the scheduler's placement.

use clock::Span;

/// Which modules take part in the choice of a replica, and how many jobs it considers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Whether to prefer replicas that hold the prefix; when off, the least loaded replica is
    /// chosen.
    pub affinity: bool,
    /// Whether to estimate load; when off, every replica takes what it has slots for by our own
    /// count.
    pub concurrency: bool,
    /// Whether replicas are ejected.
    pub health: bool,
    /// Whether killer requests are quarantined.
    pub quarantine: bool,
    /// Whether a job that has produced tokens is suspected when its replica crashes. Off is right
    /// where killers are known to crash replicas that begin to run them.
    pub blame_streams: bool,
    /// Whether the load on new replicas is ramped up.
    pub warmup: bool,
    /// Whether jobs on leaving replicas are moved; when off, they stay there to their end.
    pub wave: bool,
    /// Queue heads to consider when the first can't be placed: enough that one account's suspects
    /// or retried jobs don't block the others, few enough that a decision stays short.
    pub max_heads: usize,
    /// How long a job whose caller already has its first token waits for a replica after a crash.
    pub resume_timeout: Span,
    /// Window in which the notices of one wave arrive: moves are planned after it, so that nothing
    /// is moved to a replica that is named next.
    pub gather_window: Span,
    /// Interval between plans while jobs are left on leaving replicas.
    pub replan_interval: Span,
    /// Time before a deadline, beyond the plan's own margin, in which full replicas are overbooked:
    /// a place in a replica's own queue is better than a lost answer.
    pub overbook_window: Span,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            affinity: true,
            concurrency: true,
            health: true,
            quarantine: true,
            blame_streams: true,
            warmup: true,
            wave: true,
            max_heads: 8,
            resume_timeout: Span::from_seconds(30),
            gather_window: Span::from_millis(50),
            replan_interval: Span::from_millis(250),
            overbook_window: Span::from_millis(1_500),
        }
    }
}

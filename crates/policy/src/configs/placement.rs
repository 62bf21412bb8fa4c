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
    /// Off, a job that has made tokens isn't suspected when its replica crashes: right where killers are known
    /// to crash what begins to run them.
    pub blame_streams: bool,
    /// Off, a new replica gets its whole part at once.
    pub warmup: bool,
    /// Off, what runs on a leaving replica stays there to its end.
    pub wave: bool,
    /// Queue heads looked at when the first can't be placed: enough that one account's suspects or
    /// retried jobs don't block the others, few enough that a decision stays short.
    pub max_heads: usize,
    /// How long a job whose caller already has its first token waits for a place after a crash.
    pub resume_timeout: Span,
    /// The notices of one wave come within this time: moves are planned after it, so that nothing is
    /// moved to a replica that is named next.
    pub gather_window: Span,
    /// Moves are planned anew this often while jobs are left on leaving replicas.
    pub replan_interval: Span,
    /// This long before a deadline, after the plan's own margin, full replicas are overbooked: a place
    /// in a replica's own queue is better than a lost answer.
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

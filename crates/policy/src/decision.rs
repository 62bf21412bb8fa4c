//! What the scheduler decides.

use verdict::Refusal;

use crate::job;
use crate::replica;

/// One decision, to be carried out by the embedder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hand the job to this replica now.
    Start {
        /// Which job.
        job: job::Id,
        /// Where.
        replica: replica::Key,
    },
    /// Give the caller its final answer now.
    Refuse {
        /// Which job.
        job: job::Id,
        /// The final word; its verdict is `NotRun` unless an attempt may have run.
        refusal: Refusal,
    },
    /// Move a running job off a leaving replica.
    Move {
        /// Which job.
        job: job::Id,
        /// Away from here.
        from: replica::Key,
        /// To here.
        to: replica::Key,
        /// By which means.
        how: Transfer,
    },
    /// Stop the attempt: it has been given up or replaced.
    Cancel {
        /// Which job.
        job: job::Id,
        /// Where it runs.
        replica: replica::Key,
    },
}

/// How a running job gets to another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Transfer {
    /// KV exported and imported: nothing is computed again.
    Kv,
    /// Prompt and tokens so far are run again.
    Rerun,
}

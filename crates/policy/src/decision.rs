//! Decisions of the scheduler.

use verdict::Refusal;

use crate::job;
use crate::replica;

/// One decision, to be carried out by the embedder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start the job on a replica.
    Start {
        /// Job to start.
        job: job::Id,
        /// Replica that runs it.
        replica: replica::Key,
    },
    /// Refuse the job; its caller gets this as the final answer.
    Refuse {
        /// Refused job.
        job: job::Id,
        /// Final answer; its verdict is `NotRun` unless an attempt may have run.
        refusal: Refusal,
    },
    /// Move a running job off a leaving replica.
    Move {
        /// Job to move.
        job: job::Id,
        /// Leaving replica.
        from: replica::Key,
        /// Replica that takes the job over.
        to: replica::Key,
        /// Transfer method.
        transfer: Transfer,
    },
    /// Stop an attempt that was cancelled or replaced.
    Cancel {
        /// Job to stop.
        job: job::Id,
        /// Replica that runs it.
        replica: replica::Key,
    },
}

/// Method of moving a running job to another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Transfer {
    /// Exports and imports the KV cache; nothing is computed again.
    Kv,
    /// Runs the prompt and the tokens generated so far again.
    Rerun,
}

//! One request as the scheduler sees it: sizes, targets and hashes, never its content.

use clock::Span;

use crate::account;
use crate::pool;

/// Names one job; chosen by the embedder, unique among its open jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// What is known of a job when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Its name.
    pub id: Id,
    /// Who sent it.
    pub account: account::Key,
    /// Where it may run.
    pub pool: pool::Key,
    /// Model call or plain call.
    pub kind: Kind,
    /// Prompt length, tokens (an estimate from the body's size is good enough).
    pub prompt_tokens: u32,
    /// Most tokens it may generate.
    pub max_new_tokens: u32,
    /// Hash of the prompt's beginning: jobs with an equal one share cached KV.
    pub prefix: u64,
    /// Hash of the whole content: a repeat of the same request has an equal one.
    pub fingerprint: u64,
    /// Whether it may be started a second time after bytes were handed to a replica.
    pub idempotent: bool,
    /// Target for the time to the first token, counted from arrival.
    pub first_token: Span,
    /// Target for the time between tokens.
    pub token_gap: Span,
    /// What is asked of this job alone, beyond its account.
    pub terms: Terms,
}

/// Conditions of one job; the default asks for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Among jobs of accounts with equal priority: 0 goes first, 9 last.
    pub rank: u8,
    /// Most replicas it may be handed to.
    pub attempts: u32,
    /// It is given up so long after its arrival, whatever else would allow.
    pub queue_timeout: Span,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            rank: 0,
            attempts: u32::MAX,
            queue_timeout: Span::from_millis(u64::MAX),
        }
    }
}

/// Model call or plain call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Streams tokens from a model engine.
    Model,
    /// One call of a plain service.
    Plain,
}

/// How an attempt on a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Finished,
    /// No byte of it reached the replica.
    NotSent,
    /// The replica said it did not start the job.
    NotStarted,
    /// The replica refused or failed it in good order; others may do the same.
    Failed,
    /// The replica's process died or its connection broke while the job ran there.
    Crashed,
    /// The job left this replica (moved, cancelled) through no fault of the replica.
    Left,
}

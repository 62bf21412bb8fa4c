//! A request as the scheduler sees it: sizes, targets and hashes, never its content.

use clock::Span;

use crate::account;
use crate::pool;
use crate::version;

/// Job identifier, chosen by the embedder and unique among its open jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// Properties of a job known at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifier.
    pub id: Id,
    /// Client account that sent the job.
    pub account: account::Key,
    /// Pool that may run the job.
    pub pool: pool::Key,
    /// Model call or plain call.
    pub kind: Kind,
    /// Prompt length, tokens; an estimate from the size of the body is good enough.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_new_tokens: u32,
    /// Hash of the prompt's beginning; jobs with equal hashes share cached KV.
    pub prefix: u64,
    /// Hash of the whole content; repeats of a request have equal hashes.
    pub fingerprint: u64,
    /// Whether the job may be started again after bytes of it were handed to a replica.
    pub idempotent: bool,
    /// Latency target for the first token, from arrival.
    pub first_token: Span,
    /// Latency target between tokens.
    pub token_gap: Span,
    /// Conditions of this job beyond those of its account.
    pub terms: Terms,
}

/// Conditions of one job; the default sets none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Rank among jobs of accounts with equal priority: 0 goes first, 9 last.
    pub rank: u8,
    /// Maximum number of replicas the job may be handed to.
    pub attempts: u32,
    /// Time after arrival at which the waiting job is given up, whatever else would allow.
    pub queue_timeout: Span,
    /// The only software version that may run the job: the one that began its stream. `None` for a new stream.
    pub version: Option<version::Key>,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            rank: 0,
            attempts: u32::MAX,
            queue_timeout: Span::from_millis(u64::MAX),
            version: None,
        }
    }
}

/// Kind of service that a job calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Streams tokens from a model engine.
    Model,
    /// Calls a plain service once.
    Plain,
}

/// Outcome of an attempt on a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived.
    Finished,
    /// No byte of the request reached the replica.
    NotSent,
    /// The replica reported that it did not start the job.
    NotStarted,
    /// The replica refused or failed the job in an orderly way; other replicas may do the same.
    Failed,
    /// The replica's process died or its connection broke while the job ran there.
    Crashed,
    /// The connection broke on the way to the replica, which accepts others.
    Interrupted,
    /// The replica answered, but nothing of that could be delivered, through no fault of the replica.
    Withheld,
    /// The job was moved or cancelled, through no fault of the replica.
    Left,
}

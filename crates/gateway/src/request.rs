//! An open request.

use clock::Span;
use clock::Time;
use policy::charge::Charge;
use policy::job::Job;
use policy::replica;
use smol_str::SmolStr;

use crate::arrival::Prompt;
use crate::catalog::Repeat;
use crate::charging::Grant;

/// A request between its arrival and its final answer.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The caller's name for it.
    pub id: SmolStr,
    /// By which route it came.
    pub route: SmolStr,
    /// Whose it is; none on public routes.
    pub account: Option<SmolStr>,
    /// Which service runs it.
    pub service: SmolStr,
    /// Whether it tries a version that isn't in use yet.
    pub canary: bool,
    /// What it was counted as once it was admitted.
    pub work: u64,
    /// Prompt tokens that no other request shares.
    pub unshared_tokens: u64,
    /// Tokens in one event of its stream.
    pub tokens_per_event: u32,
    /// What may be repeated.
    pub repeat: Repeat,
    /// What the scheduler knows of it.
    pub job: Job,
    /// Number of the attempt that runs or ran last.
    pub attempt: u32,
    /// Where it runs.
    pub replica: Option<replica::Key>,
    /// When its head came.
    pub arrived_at: Time,
    /// When its final answer is due. Invariant: in the timeouts.
    pub deadline: Time,
    /// Longest silence of a replica that is worth waiting for.
    pub silence_timeout: Option<Span>,
    /// Where its run is being moved.
    pub move_target: Option<replica::Key>,
    /// What its account's quota is charged.
    pub charge: Option<Charge>,
    /// What was charged.
    pub grant: Option<Grant>,
    /// Its prompt, until it is charged.
    pub prompt: Option<Prompt>,
    /// Status of a replica's own failure, which the caller gets if nobody does better.
    pub failure_status: Option<u16>,
    /// When it was handed to a replica last.
    pub sent_at: Option<Time>,
    /// When its answer began.
    pub first_response_at: Option<Time>,
    /// Whether a replica has begun to work on it, as far as known.
    pub execution_started: bool,
}

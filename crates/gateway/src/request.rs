//! State of an open request.

use std::rc::Rc;

use clock::Span;
use clock::Time;
use policy::charge::Charge;
use policy::job::Job;
use policy::replica;
use smol_str::SmolStr;

use crate::arrival::Prompt;
use crate::catalog::Repeat;
use crate::charging::Grant;
use crate::origins::Runner;
use crate::streams;

/// The latest record of a stream, which overrides those of earlier attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LatestRecord {
    /// Number of the attempt.
    pub attempt: u32,
    /// Software version of its replica.
    pub version: SmolStr,
    /// Whether the table service has written it.
    pub is_written: bool,
}

/// A request between its arrival and its final answer.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Id that the caller gave it.
    pub id: SmolStr,
    /// Name of its route.
    pub route: SmolStr,
    /// Name of its account; none on public routes.
    pub account: Option<SmolStr>,
    /// Name of the service that runs it.
    pub service: SmolStr,
    /// Whether it runs on a version under trial.
    pub canary: bool,
    /// Whether its caller has read a part of the stream and takes it up again.
    pub continues: bool,
    /// Work that it was counted as at admission, in prompt tokens.
    pub work: u64,
    /// Prompt tokens not shared with other requests.
    pub unshared_tokens: u64,
    /// Tokens per event of its stream.
    pub tokens_per_event: u32,
    /// Whether and how it may be repeated.
    pub repeat: Repeat,
    /// The scheduler's view of it.
    pub job: Job,
    /// Number of the current or last attempt.
    pub attempt: u32,
    /// The replica that runs it.
    pub replica: Option<replica::Key>,
    /// When its head arrived.
    pub arrived_at: Time,
    /// When its final answer is due. Invariant: `Gateway::timeouts` has an entry for it.
    pub deadline: Time,
    /// The process to which the current or last attempt was sent, as the list named it.
    pub runner: Option<Runner>,
    /// How long a replica may be silent before another one is tried.
    pub silence_timeout: Option<Span>,
    /// The replica that its run is being moved to.
    pub move_target: Option<replica::Key>,
    /// The charge to its account's quota.
    pub charge: Option<Charge>,
    /// The charge as granted.
    pub grant: Option<Grant>,
    /// Its prompt, until admission.
    pub prompt: Option<Prompt>,
    /// Status of a replica's failed answer, passed on to the caller if no other attempt succeeds.
    pub failure_status: Option<u16>,
    /// When it was last sent to a replica.
    pub sent_at: Option<Time>,
    /// When its answer began.
    pub first_response_at: Option<Time>,
    /// When the answer of the current attempt began.
    pub attempt_began_at: Option<Time>,
    /// Parts of its prompt that other requests may share, in order.
    pub shared_parts: Rc<[u64]>,
    /// Whether it would have been drawn for another service by some former shares of its route.
    pub is_redrawn: bool,
    /// Its stream, as its caller names it.
    pub stream: streams::Key,
    /// The software version that began its stream, once that is known.
    pub version: Option<SmolStr>,
    /// The latest record of its stream.
    pub record: Option<LatestRecord>,
    /// Time from which its caller doesn't take the stream up again.
    pub returns_until: Time,
    /// Whether a replica is known to have started to run it.
    pub execution_started: bool,
}

impl Request {
    /// Returns whether a replica may have started to run it: one did, or one has it now.
    pub fn may_have_run(&self) -> bool {
        self.execution_started || self.replica.is_some()
    }

    /// Returns whether it may go on only at the software version that began its stream.
    pub fn is_bound_to_version(&self) -> bool {
        self.repeat.is_resumable() && (self.version.is_some() || self.first_response_at.is_some())
    }
}

//! A request in flight at this entry.

use clock::Span;
use clock::Time;
use policy::job::Job;
use policy::replica;
use request::id::Id;
use request::id::Stream;
use request::ticket::Ticket;
use smol_str::SmolStr;

/// An open request.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Id at this entry; also the prefix of its stream ids.
    pub id: Id,
    /// Id under which the caller first knew the request.
    pub origin: Id,
    /// Account of the caller.
    pub account: SmolStr,
    /// Name of the deployment.
    pub deployment: SmolStr,
    /// The scheduler's job.
    pub job: Job,
    /// Number of the current attempt; only increases.
    pub attempt: u32,
    /// Replica that runs the request.
    pub replica: Option<replica::Key>,
    /// Permit that the request waits for before it is scheduled.
    pub pending_permit: Option<Permit>,
    /// Whether a backend server may have run the request.
    ///
    /// Reset only if the attempt that set it ends as not started. While it is set, no refusal of this
    /// request has the verdict "not run".
    pub may_have_run: bool,
    /// Value of `may_have_run` before the current attempt.
    pub may_have_run_before: bool,
    /// Whether the head of the answer was sent; from then on the answer must be completed.
    pub accepted: bool,
    /// Arrival time.
    pub arrived: Time,
    /// Time of the first dispatch to a backend server.
    pub started: Option<Time>,
    /// Longest gap between two tokens so far.
    pub worst_gap: Span,
    /// Price of the replica per hour, in millionths of the currency.
    pub hourly_micros: u64,
    /// Number of requests that the replica runs concurrently.
    pub replica_slots: u64,
    /// Time at which the first token, or the head of the answer, was relayed.
    pub first_token: Option<Time>,
    /// Number of tokens relayed by this entry.
    pub tokens: u64,
    /// Number of tokens computed more than once.
    pub recomputed: u64,
    /// Number of moves between replicas.
    pub moves: u32,
}

/// A permit that a non-idempotent request needs before it is dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Granted by the entry that holds the ledger of the ticket.
    Ticket {
        /// The ticket.
        ticket: Ticket,
        /// Time of the next try if no answer arrives.
        retry_at: Time,
        /// Time at which the request is refused.
        deadline: Time,
    },
    /// Granted by inserting the request's own row into the table service.
    Intent {
        /// Key of the row.
        key: SmolStr,
        /// Token of the insert; identifies the row as our own on a retry.
        token: SmolStr,
        /// Time at which the request is refused.
        deadline: Time,
    },
}

impl Flight {
    /// Starts a new attempt and returns its stream; from now on the request may have run.
    pub fn next_stream(&mut self) -> Stream {
        self.attempt += 1;
        self.may_have_run_before = self.may_have_run;
        self.may_have_run = true;
        Stream {
            request: self.id,
            attempt: self.attempt,
        }
    }
}

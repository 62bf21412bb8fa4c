//! One open request at this entry.

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
    /// Its name at this entry; names its streams as well.
    pub id: Id,
    /// The name under which the caller first got to know it.
    pub origin: Id,
    /// Whose it is.
    pub account: SmolStr,
    /// What serves it.
    pub deployment: SmolStr,
    /// What the scheduler knows of it.
    pub job: Job,
    /// Number of the newest attempt; only rises, reports of older ones are dropped.
    pub attempt: u32,
    /// Where it runs.
    pub replica: Option<replica::Key>,
    /// What it waits for before the scheduler may see it.
    pub pending_permit: Option<Permit>,
    /// Whether bytes of it were handed to a backend server that did not refuse to start it.
    ///
    /// Unset only when the very attempt that set it ends as not started. While it is set nothing
    /// says "not run" of this request.
    pub may_have_run: bool,
    /// What `may_have_run` was before the newest attempt.
    pub may_have_run_before: bool,
    /// Whether the caller has the head of its answer: from then on it must end in a whole answer.
    pub accepted: bool,
    /// When it arrived.
    pub arrived: Time,
    /// When it was first handed to a backend server.
    pub started: Option<Time>,
    /// Longest time between two tokens so far.
    pub worst_gap: Span,
    /// Price of an hour of its replica, millionths of the currency.
    pub hourly_micros: u64,
    /// What its replica runs at once.
    pub replica_slots: u64,
    /// When its first token, or the head of its answer, was passed on.
    pub first_token: Option<Time>,
    /// Tokens passed on by this entry.
    pub tokens: u64,
    /// Tokens computed a second time for it.
    pub recomputed: u64,
    /// Moves between replicas.
    pub moves: u32,
}

/// Permit that a non-idempotent request needs before it is dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The word of the entry that holds its ticket's ledger.
    Ticket {
        /// The ticket.
        ticket: Ticket,
        /// When it is asked for again, if no word came.
        retry_at: Time,
        /// When no more tries are made.
        deadline: Time,
    },
    /// Its own row in the table service.
    Intent {
        /// The row's key.
        key: SmolStr,
        /// Names our attempt at the row.
        token: SmolStr,
        /// When no more tries are made.
        deadline: Time,
    },
}

impl Flight {
    /// The stream of a new attempt; from now on the request may have run.
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

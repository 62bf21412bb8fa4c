//! Record of a run, as callers, backend servers, operators and the cloud observed it.

use clock::Time;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Verdict;

/// Identifies one request of one caller across all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask(pub u32);

/// Identifies one try of a request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Try(pub u32);

/// Identifies one process of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life(pub u32);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Request for a streamed answer.
    Model {
        /// Length of the whole answer in tokens.
        tokens: u64,
    },
    /// A plain call.
    Plain {
        /// Whether it must run at most once.
        non_idempotent: bool,
    },
}

/// Why a connection ended without a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The entry's process exited after an orderly stop.
    Exit,
    /// The entry's instance was reclaimed at the end of its notice.
    Reclaim,
    /// The entry was killed.
    Kill,
    /// The connection broke.
    Link,
    /// The caller timed out waiting for a response.
    Patience,
}

/// One observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A caller created a request.
    Asked {
        /// The new request.
        ask: Ask,
        /// Kind of the request.
        kind: Kind,
        /// Whether it crashes each model engine that runs it.
        killer: bool,
    },
    /// A try of a request was sent.
    Sent {
        /// The request.
        ask: Ask,
        /// The new try.
        number: Try,
        /// Entry that it was sent to.
        life: Life,
        /// Offset of the first token that the caller lacks.
        offset: u64,
    },
    /// The caller received the head of its answer.
    Head {
        /// The request.
        ask: Ask,
    },
    /// The caller received a token.
    Chunk {
        /// The request.
        ask: Ask,
        /// Try on which the token came.
        number: Try,
        /// Offset that the entry gave the token.
        offset: u64,
        /// Request whose answer the token belongs to.
        owner: Ask,
        /// Position of the token in that answer.
        index: u64,
    },
    /// The caller received the end of a whole answer.
    Whole {
        /// The request.
        ask: Ask,
        /// Try on which the end came.
        number: Try,
        /// Request whose answer ended.
        owner: Ask,
    },
    /// The caller received a refusal.
    Refused {
        /// The request.
        ask: Ask,
        /// The refused try.
        number: Try,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Reason of the refusal.
        reason: Reason,
    },
    /// The caller was redirected to another entry.
    Continued {
        /// The request.
        ask: Ask,
    },
    /// The caller's connection ended without a final response.
    Cut {
        /// The request.
        ask: Ask,
        /// Entry at the other end of the connection.
        life: Life,
        /// Why the connection ended.
        cause: Cause,
    },
    /// The caller disconnected for good or cancelled.
    Dropped {
        /// The request.
        ask: Ask,
    },
    /// A backend server began to run a request.
    Ran {
        /// The request.
        ask: Ask,
        /// Try on whose behalf it runs.
        number: Try,
        /// Incarnation of the server.
        server: SmolStr,
    },
    /// The cloud announced the reclaim of a backend server's instance.
    Noticed {
        /// Incarnation of the server.
        server: SmolStr,
    },
    /// An operator's change of an account's key was reported to be in force everywhere.
    Accepted {
        /// The changed account.
        account: SmolStr,
        /// The account's only key from this version on.
        key: SmolStr,
        /// Configuration version that contains the change.
        version: u64,
    },
    /// An operator's change was reported as committed, but not yet in force everywhere.
    Committed {
        /// The changed account.
        account: SmolStr,
        /// The account's only key from this version on.
        key: SmolStr,
        /// Configuration version that contains the change.
        version: u64,
    },
    /// A probe with a key of a watched account was not refused because of its key or of the entry's state.
    Admitted {
        /// The watched account.
        account: SmolStr,
        /// The key that the probe presented.
        key: SmolStr,
        /// Time at which the probe was sent.
        sent: Time,
    },
    /// An entry reported its configuration version.
    Showed {
        /// The entry.
        life: Life,
        /// The reported version.
        version: u64,
    },
    /// The last change, made after all faults were over, finished.
    LastChange {
        /// Whether it was accepted.
        accepted: bool,
    },
    /// An entry was frozen or thawed.
    Paused {
        /// The entry.
        life: Life,
        /// Whether it was thawed.
        over: bool,
    },
}

/// All observations in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Observations with their simulated time.
    pub records: Vec<(Time, Fact)>,
}

impl History {
    /// Appends an observation.
    pub fn note(&mut self, at: Time, fact: Fact) {
        self.records.push((at, fact));
    }
}

//! Record of a run, as callers, backend servers, operators and the cloud observed it.

use clock::Time;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Verdict;

/// Identifies one request of one caller across all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Identifies one try of a request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId(pub u32);

/// Identifies one process of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u32);

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
    Timeout,
}

/// One observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A caller created a request.
    Requested {
        /// The new request.
        request: RequestId,
        /// Kind of the request.
        kind: Kind,
        /// Whether it crashes each model engine that runs it.
        killer: bool,
    },
    /// A try of a request was sent.
    Sent {
        /// The request.
        request: RequestId,
        /// The new try.
        try_id: TryId,
        /// Entry that it was sent to.
        process: ProcessId,
        /// Offset of the first token that the caller lacks.
        offset: u64,
    },
    /// The caller received the head of its answer.
    Head {
        /// The request.
        request: RequestId,
    },
    /// The caller received a token.
    Chunk {
        /// The request.
        request: RequestId,
        /// Try on which the token came.
        try_id: TryId,
        /// Offset that the entry gave the token.
        offset: u64,
        /// Request whose answer the token belongs to.
        owner: RequestId,
        /// Position of the token in that answer.
        index: u64,
    },
    /// The caller received the end of a whole answer.
    Completed {
        /// The request.
        request: RequestId,
        /// Try on which the end came.
        try_id: TryId,
        /// Request whose answer ended.
        owner: RequestId,
    },
    /// The caller received a refusal.
    Refused {
        /// The request.
        request: RequestId,
        /// The refused try.
        try_id: TryId,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Reason of the refusal.
        reason: Reason,
    },
    /// The caller was redirected to another entry.
    Redirected {
        /// The request.
        request: RequestId,
    },
    /// The caller's connection ended without a final response.
    Disconnected {
        /// The request.
        request: RequestId,
        /// Entry at the other end of the connection.
        process: ProcessId,
        /// Why the connection ended.
        cause: Cause,
    },
    /// The caller disconnected for good or cancelled.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A backend server began to run a request.
    Started {
        /// The request.
        request: RequestId,
        /// Try on whose behalf it runs.
        try_id: TryId,
        /// Incarnation of the server.
        server: SmolStr,
    },
    /// The cloud announced the reclaim of a backend server's instance.
    ReclaimAnnounced {
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
    VersionReported {
        /// The entry.
        process: ProcessId,
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
        process: ProcessId,
        /// Whether it was thawed.
        resumed: bool,
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
    pub fn record(&mut self, at: Time, fact: Fact) {
        self.records.push((at, fact));
    }
}

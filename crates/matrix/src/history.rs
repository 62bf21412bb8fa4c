//! What a run recorded, as callers, backend servers, operators and the cloud saw it.

use clock::Time;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Verdict;

/// Names one request of one caller over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask(pub u32);

/// Names one sending of a request; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Try(pub u32);

/// Names one life of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life(pub u32);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A streamed answer of so many tokens.
    Model {
        /// Length of the whole answer.
        tokens: u64,
    },
    /// A plain call.
    Plain {
        /// Whether it must run at most once.
        non_idempotent: bool,
    },
}

/// Why a connection ended without a last word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The entry's process ended in good order.
    Exit,
    /// The entry's instance was taken away at the end of its notice.
    Reclaim,
    /// The entry was killed.
    Kill,
    /// The connection broke.
    Link,
    /// The caller waited too long for a word.
    Patience,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A caller has a request; `killer` crashes each model engine that runs it.
    Asked {
        /// Its name.
        ask: Ask,
        /// What it asks for.
        kind: Kind,
        /// Whether it crashes model engines.
        killer: bool,
    },
    /// It was sent; the caller wants `offset` first.
    Sent {
        /// Which request.
        ask: Ask,
        /// Which sending.
        number: Try,
        /// To which entry.
        life: Life,
        /// Offset of the first token wanted.
        offset: u64,
    },
    /// The caller got the head of its stream.
    Head {
        /// Which request.
        ask: Ask,
    },
    /// The caller got a token.
    Chunk {
        /// Which request.
        ask: Ask,
        /// On which sending.
        number: Try,
        /// Its offset as told.
        offset: u64,
        /// Whose answer it belongs to.
        owner: Ask,
        /// Its place in that answer.
        index: u64,
    },
    /// The caller got the end of a whole answer.
    Whole {
        /// Which request.
        ask: Ask,
        /// On which sending.
        number: Try,
        /// Whose answer it was.
        owner: Ask,
    },
    /// The caller got a refusal.
    Refused {
        /// Which request.
        ask: Ask,
        /// Which sending.
        number: Try,
        /// What is said of its execution.
        verdict: Verdict,
        /// Why.
        reason: Reason,
    },
    /// The caller was told to go on at another entry.
    Continued {
        /// Which request.
        ask: Ask,
    },
    /// The caller's connection ended without a last word.
    Cut {
        /// Which request.
        ask: Ask,
        /// At which entry.
        life: Life,
        /// Why.
        cause: Cause,
    },
    /// The caller went away or cancelled for good.
    Dropped {
        /// Which request.
        ask: Ask,
    },
    /// A backend server began to run a request.
    Ran {
        /// Which request.
        ask: Ask,
        /// Which sending led to it.
        number: Try,
        /// Incarnation of the server.
        server: SmolStr,
    },
    /// The cloud announced the end of a backend server's instance.
    Noticed {
        /// Incarnation of the server.
        server: SmolStr,
    },
    /// An operator was told that a change of an account's key is in force everywhere.
    Accepted {
        /// Which account.
        account: SmolStr,
        /// Its only key from now on.
        key: SmolStr,
        /// The version that holds it.
        version: u64,
    },
    /// An operator was told that a change is committed, not yet in force everywhere.
    Committed {
        /// Which account.
        account: SmolStr,
        /// Its only key from then on.
        key: SmolStr,
        /// The version that holds it.
        version: u64,
    },
    /// A request with a key of an account that operators change was sent at `sent`, and not refused
    /// for its key or for the entry's state.
    Admitted {
        /// Which account.
        account: SmolStr,
        /// The key that came along.
        key: SmolStr,
        /// When it was sent.
        sent: Time,
    },
    /// An entry showed its configuration.
    Showed {
        /// Which entry.
        life: Life,
        /// Its version.
        version: u64,
    },
    /// The last change, made when all faults were over, and how it went.
    LastChange {
        /// Whether it was accepted.
        accepted: bool,
    },
    /// An entry stopped running or ran on.
    Paused {
        /// Which entry.
        life: Life,
        /// Whether it runs again.
        over: bool,
    },
}

/// All that was seen, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Facts with the true time.
    pub records: Vec<(Time, Fact)>,
}

impl History {
    /// Adds what is seen now.
    pub fn note(&mut self, at: Time, fact: Fact) {
        self.records.push((at, fact));
    }
}

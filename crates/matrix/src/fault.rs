//! Faults that can be injected.

use clock::Span;

/// One fault. Entries and backend servers are named by slot; each slot holds one process at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills an entry's process; a new one starts after a while.
    KillEntry(usize),
    /// Freezes an entry for some time; it resumes without noticing.
    Freeze(usize, Span),
    /// Loses messages from entry `.0` to entry `.1` for some time.
    CutPeers(usize, usize, Span),
    /// Breaks all connections between an entry and model engines once.
    BreakEngines(usize),
    /// Breaks all connections of callers to an entry once.
    BreakCallers(usize),
    /// Slows messages between an entry and its peers for some time.
    SlowPeers(usize, Span),
    /// Loses the next answers of plain services after the calls took effect.
    LoseServiceAnswers(u32),
    /// Makes backend servers refuse the next calls as not started.
    RefuseStarts(u32),
    /// Makes the table service unavailable for some time.
    StoreDown(Span),
    /// Slows the table service for some time.
    StoreSlow(Span),
    /// Loses the next answers of the table service after the calls took effect.
    LoseStoreAnswers(u32),
    /// Loses the next calls to the table service before they take effect.
    LoseStoreCalls(u32),
    /// Announces the reclaim of a backend server's instance.
    Reclaim(usize, Span),
    /// Announces the reclaim of all instances of an availability zone, entries included.
    ReclaimZone(usize, Span),
    /// Announces the reclaim of an entry's instance.
    ReclaimEntry(usize, Span),
    /// Asks an entry to stop; a new process starts when it has ended.
    StopEntry(usize),
    /// Kills a backend server without notice.
    KillBackend(usize),
    /// Makes the cloud refuse new instances for some time.
    RefuseInstances(Span),
    /// Lets two operators change the same account concurrently.
    RaceOperators,
    /// Sends a request that crashes each model engine that runs it.
    KillerRequest,
}

//! Faults, as data.

use clock::Span;

/// One fault. Entries and backend servers are named by slot; each slot holds one life at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry's process is killed; a new life starts after a while.
    KillEntry(usize),
    /// An entry stands still for some time and runs on without knowing.
    Freeze(usize, Span),
    /// What entry `.0` sends to entry `.1` is lost for some time.
    CutPeers(usize, usize, Span),
    /// Connections between an entry and all model engines break, once.
    BreakEngines(usize),
    /// Callers' connections to an entry break, once.
    BreakCallers(usize),
    /// An entry's peers answer slowly for some time.
    SlowPeers(usize, Span),
    /// The next answers of plain services are lost after their effect.
    LoseServiceAnswers(u32),
    /// The next calls of backend servers are refused as not started.
    RefuseStarts(u32),
    /// The table service is down for some time.
    StoreDown(Span),
    /// The table service is slow for some time.
    StoreSlow(Span),
    /// The next answers of the table service are lost after their effect.
    LoseStoreAnswers(u32),
    /// The next calls of the table service are lost before their effect.
    LoseStoreCalls(u32),
    /// A backend server's instance is announced to end.
    Reclaim(usize, Span),
    /// All instances of a zone are announced to end, entries too.
    ReclaimZone(usize, Span),
    /// An entry's instance is announced to end.
    ReclaimEntry(usize, Span),
    /// An entry is asked to stop; a new life starts when it has ended.
    StopEntry(usize),
    /// A backend server dies without notice.
    KillBackend(usize),
    /// The cloud starts no instance for some time.
    RefuseInstances(Span),
    /// Two operators change the same account at the same moment, at different entries.
    RaceOperators,
    /// A caller sends a request that crashes each model engine that runs it.
    KillerRequest,
}

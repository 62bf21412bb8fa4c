//! The two axes of the fault matrix: steps and faults.

/// Stage of a request, or control action, at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A request reaches an entry.
    Arrived,
    /// It waits for the answer of the entry that holds its ticket's ledger.
    LeaveByTicket,
    /// It waits for its row to be written to the table service.
    LeaveByRow,
    /// It waits for a backend server.
    Queued,
    /// A plain call runs at a service.
    PlainRuns,
    /// A model engine has received it.
    Started,
    /// Its caller has received the head of the answer.
    Head,
    /// Its answer is being streamed to its caller.
    Streaming,
    /// Its stream has been moved to another replica.
    Moved,
    /// All tokens were streamed, but not the end of the answer.
    Ended,
    /// Its caller has reconnected after a disconnect.
    Resumed,
    /// A stopping entry has redirected its caller to another one.
    HandedOff,
    /// Its caller has cancelled it.
    Cancelled,
    /// An entry renews its lease.
    LeaseRenewal,
    /// A change of the configuration is being written.
    ConfigCommit,
    /// A change has been written and is being applied.
    ConfigApply,
    /// An entry is stopping with requests open.
    Drain,
    /// A stopping entry hands over its ledger.
    LedgerHandover,
    /// A backend server is leaving with a stream running.
    InstanceLeave,
}

/// Fault, as a column of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// The entry is killed.
    KillEntry,
    /// The backend server dies without notice.
    KillBackend,
    /// The entry is frozen for 3 s.
    Freeze,
    /// The entry is frozen until after its lease has lapsed.
    LeaseLapsed,
    /// Messages from the entry to its peers are lost.
    CutOut,
    /// Messages from its peers to the entry are lost.
    CutIn,
    /// Callers' connections break.
    CutCallers,
    /// Connections to model engines break.
    CutEngines,
    /// Peers are slow.
    Slow,
    /// Answers of the table service and of services are lost after their effect.
    LostAnswer,
    /// The table service is down.
    StoreDown,
    /// The table service is slow.
    StoreSlow,
    /// The backend server's instance is reclaimed.
    ReclaimInstance,
    /// The zone of the entry is reclaimed.
    ReclaimZone,
    /// The entry's instance is reclaimed.
    ReclaimEntry,
    /// The entry is asked to stop.
    StopEntry,
    /// The backend server's instance is reclaimed, and the cloud starts no replacement.
    RefusedReplacement,
    /// Two operators change the same account concurrently.
    OperatorsRace,
    /// A request crashes each model engine that runs it.
    KillerRequest,
}

/// All steps, in the order of the rendered page.
pub const STEPS: [Step; 19] = [
    Step::Arrived,
    Step::LeaveByTicket,
    Step::LeaveByRow,
    Step::Queued,
    Step::PlainRuns,
    Step::Started,
    Step::Head,
    Step::Streaming,
    Step::Moved,
    Step::Ended,
    Step::Resumed,
    Step::HandedOff,
    Step::Cancelled,
    Step::LeaseRenewal,
    Step::ConfigCommit,
    Step::ConfigApply,
    Step::Drain,
    Step::LedgerHandover,
    Step::InstanceLeave,
];

/// All faults, in the order of the rendered page.
pub const TROUBLES: [Trouble; 19] = [
    Trouble::KillEntry,
    Trouble::KillBackend,
    Trouble::Freeze,
    Trouble::LeaseLapsed,
    Trouble::CutOut,
    Trouble::CutIn,
    Trouble::CutCallers,
    Trouble::CutEngines,
    Trouble::Slow,
    Trouble::LostAnswer,
    Trouble::StoreDown,
    Trouble::StoreSlow,
    Trouble::ReclaimInstance,
    Trouble::ReclaimZone,
    Trouble::ReclaimEntry,
    Trouble::StopEntry,
    Trouble::RefusedReplacement,
    Trouble::OperatorsRace,
    Trouble::KillerRequest,
];

/// One cell: a step combined with one fault, or with two concurrent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    /// Step at which the faults are injected.
    pub step: Step,
    /// First fault.
    pub first: Trouble,
    /// Second, concurrent fault.
    pub second: Option<Trouble>,
}

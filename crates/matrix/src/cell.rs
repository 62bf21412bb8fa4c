//! The two sides of the fault matrix.

/// A step of a request, or an action of control, that a fault meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A request reaches an entry.
    Arrived,
    /// It waits for the word of the entry that holds its ticket's ledger.
    LeaveByTicket,
    /// It waits for its row in the table service.
    LeaveByRow,
    /// It waits for a backend server.
    Queued,
    /// A plain call runs at a service.
    PlainRuns,
    /// A model engine has been given it.
    Started,
    /// Its caller holds the head of the answer.
    Head,
    /// Its answer is being passed on.
    Streaming,
    /// Its stream has been moved to another replica.
    Moved,
    /// All tokens were passed on, the end was not yet.
    Ended,
    /// Its caller has come back after a cut.
    Resumed,
    /// A stopping entry has named another one to its caller.
    HandedOff,
    /// Its caller has cancelled it.
    Cancelled,
    /// An entry renews its lease.
    LeaseRenewal,
    /// A change of the configuration is being written.
    ConfigCommit,
    /// A change has been written and is being put in force.
    ConfigApply,
    /// An entry is stopping with requests open.
    Drain,
    /// A stopping entry hands its ledger on.
    LedgerHandover,
    /// A backend server is leaving with a stream running.
    InstanceLeave,
}

/// What happens at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// The entry is killed.
    KillEntry,
    /// The backend server dies without notice.
    KillBackend,
    /// The entry stands still for 3 s.
    Freeze,
    /// The entry stands still until after its lease has lapsed.
    LeaseLapsed,
    /// What the entry sends to its peers is lost.
    CutOut,
    /// What its peers send to the entry is lost.
    CutIn,
    /// Callers' connections break.
    CutCallers,
    /// Connections to model engines break.
    CutEngines,
    /// Peers answer slowly.
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
    /// The instance is reclaimed, and the cloud starts no other.
    RefusedReplacement,
    /// Two operators change the same account.
    OperatorsRace,
    /// A request crashes each model engine that runs it.
    KillerRequest,
}

/// All steps, in the order of the page.
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

/// All troubles, in the order of the page.
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

/// One cell: a step met by one trouble, or by two at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    /// Which step.
    pub step: Step,
    /// What happens at it.
    pub first: Trouble,
    /// What happens as well.
    pub second: Option<Trouble>,
}

//! Replies to operators' calls.

use config::deployment::Account;
use config::deployment::Deployment;
use serde::Serialize;
use smol_str::SmolStr;
use verdict::Verdict;

/// Reply to a call; the variant follows from the request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Reply {
    /// Reply to `Request::Change`.
    Changed(Changed),
    /// Reply to `Request::GetDeployment`.
    Deployment {
        /// Version of the configuration that it was read from.
        version: u64,
        /// The deployment.
        deployment: Deployment,
    },
    /// Reply to `Request::ListDeployments`.
    Configuration {
        /// Version of the configuration.
        version: u64,
        /// Deployments by name.
        deployments: Vec<Deployment>,
        /// Accounts by name.
        accounts: Vec<Account>,
    },
    /// Reply to `Request::GetHistory`, newest change first.
    History(Vec<PastChange>),
    /// Reply to `Request::GetStatus`.
    Status(Status),
    /// Reply to `Request::Drain`.
    Drained {
        /// Whether the target was already leaving.
        already_leaving: bool,
        /// Requests in flight there, as far as this entry knows.
        running: u32,
    },
    /// Reply to `Request::Report`.
    Report(burn::Report),
    /// Reply to `Request::Explain`.
    Explained(Explanation),
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Changed {
    /// The change is in force at every entry.
    Accepted {
        /// Version created by the change.
        version: u64,
    },
    /// The change is committed, but not yet in force everywhere.
    Committed {
        /// Version created by the change.
        version: u64,
        /// Entries that have neither applied the change nor lost their lease.
        waiting_for: Vec<SmolStr>,
    },
    /// A concurrent change came first; this one did not take effect.
    Conflict {
        /// Newest version.
        version: u64,
        /// Differences between the expected and the newest version.
        differences: Vec<Difference>,
    },
}

/// Difference of one field between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Object that the field belongs to, such as `deployment thesis`.
    pub subject: String,
    /// Path of the field, such as `kind.version`; empty for the whole object.
    pub field: String,
    /// Old value as JSON; empty if it was added or is no longer known.
    pub before: String,
    /// New value as JSON; empty if it was removed.
    pub after: String,
}

/// Entry of the change history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PastChange {
    /// Version created by the change.
    pub version: u64,
    /// Id that the operator gave the change.
    pub change_id: SmolStr,
    /// One-line description of the edit.
    pub summary: String,
    /// Time of the commit by the clock of the entry that wrote it; informational only.
    pub written_unix_ms: u64,
}

/// Status of the system as seen by one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of the entry that replies.
    pub entry: SmolStr,
    /// Newest known version of the configuration.
    pub version: u64,
    /// Whether the platform's store is reachable.
    pub store_available: bool,
    /// Entries by name.
    pub entries: Vec<EntryStatus>,
    /// Backend servers by incarnation.
    pub backends: Vec<BackendStatus>,
}

/// Status of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub name: SmolStr,
    /// Availability zone of the entry.
    pub zone: SmolStr,
    /// Address for callers.
    pub address: SmolStr,
    /// Version of the configuration in force there.
    pub applied_version: u64,
    /// State of its lease.
    pub lease: LeaseState,
    /// Release of dogwoodspur that it runs.
    pub release: SmolStr,
}

/// State of an entry's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// The lease was renewed in time.
    Held,
    /// The renewal is overdue.
    Overdue,
    /// The lease has lapsed: the entry admits no requests.
    Lapsed,
    /// The entry is leaving.
    Leaving,
}

/// Status of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendStatus {
    /// Incarnation of the server.
    pub incarnation: SmolStr,
    /// Pool of the server.
    pub pool: SmolStr,
    /// Availability zone of the server.
    pub zone: SmolStr,
    /// State of the server.
    pub state: BackendState,
    /// Requests of the replying entry that run there.
    pub running: u32,
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Receives work.
    Live,
    /// Receives no new work.
    Leaving,
    /// Receives only probes.
    Ejected,
    /// Receives no work until it has loaded its target.
    Loading,
}

/// Trace of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: SmolStr,
    /// Client account of the caller.
    pub account: SmolStr,
    /// Deployment called.
    pub deployment: SmolStr,
    /// Steps in chronological order.
    pub steps: Vec<Step>,
    /// Verdict; none while the request is open.
    pub verdict: Option<Verdict>,
}

/// One step in the trace of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Milliseconds after the request arrived.
    pub at_ms: u64,
    /// Entry that recorded the step.
    pub entry: SmolStr,
    /// Single-word event, such as `queued`.
    pub event: SmolStr,
    /// Details as key=value pairs; holds no account key and no prompt text.
    pub detail: String,
}

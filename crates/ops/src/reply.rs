//! What operators are answered.

use config::deployment::Account;
use config::deployment::Deployment;
use serde::Serialize;
use smol_str::SmolStr;
use verdict::Verdict;

/// The answer to a call, by the kind of its request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Reply {
    /// To `Request::Change`.
    Changed(Changed),
    /// To `Request::GetDeployment`.
    Deployment {
        /// Version of the configuration in which it stands so.
        version: u64,
        /// The deployment.
        deployment: Deployment,
    },
    /// To `Request::ListDeployments`.
    Configuration {
        /// Its version.
        version: u64,
        /// By name.
        deployments: Vec<Deployment>,
        /// By name.
        accounts: Vec<Account>,
    },
    /// To `Request::GetHistory`: the newest first.
    History(Vec<PastChange>),
    /// To `Request::GetStatus`.
    Status(Status),
    /// To `Request::Drain`.
    Drained {
        /// Whether it was leaving already.
        already_leaving: bool,
        /// Requests in progress there, as far as this entry knows.
        running: u32,
    },
    /// To `Request::Report`.
    Report(burn::Report),
    /// To `Request::Explain`.
    Explained(Explanation),
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Changed {
    /// In force at every entry.
    Accepted {
        /// Version that the change made.
        version: u64,
    },
    /// Written, not yet in force everywhere.
    Committed {
        /// Version that the change made.
        version: u64,
        /// Entries that have neither applied it nor lost their lease.
        waiting_for: Vec<SmolStr>,
    },
    /// Another change came first; this one did not take effect.
    Conflict {
        /// The newest version.
        version: u64,
        /// What changed between the expected version and the newest.
        differences: Vec<Difference>,
    },
}

/// One field that differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// What it belongs to, such as `deployment thesis`.
    pub subject: String,
    /// The field, such as `kind.version`; empty for the whole.
    pub field: String,
    /// As JSON; empty if it was added or isn't known any more.
    pub before: String,
    /// As JSON; empty if it was removed.
    pub after: String,
}

/// One past change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PastChange {
    /// Version that it made.
    pub version: u64,
    /// The operator's name for it.
    pub change_id: SmolStr,
    /// What it did.
    pub summary: String,
    /// When it was written, by the clock of the entry that wrote it; for people.
    pub written_unix_ms: u64,
}

/// How things stand, as this entry knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of this entry.
    pub entry: SmolStr,
    /// Newest version known.
    pub version: u64,
    /// Whether the platform's store answers.
    pub store_available: bool,
    /// By name.
    pub entries: Vec<EntryStatus>,
    /// By incarnation.
    pub backends: Vec<BackendStatus>,
}

/// How an entry stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Where callers reach it.
    pub address: SmolStr,
    /// Version that it has in force.
    pub applied_version: u64,
    /// State of its lease.
    pub lease: LeaseState,
    /// Version of dogwoodspur that it runs.
    pub release: SmolStr,
}

/// State of an entry's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// Renewed in time.
    Held,
    /// Its renewal is overdue.
    Overdue,
    /// Lapsed: the entry admits nothing.
    Lapsed,
    /// The entry is leaving.
    Leaving,
}

/// How a backend server stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendStatus {
    /// Its incarnation.
    pub incarnation: SmolStr,
    /// Its pool.
    pub pool: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its state.
    pub state: BackendState,
    /// Requests of this entry that run there.
    pub running: u32,
}

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Gets work.
    Live,
    /// Gets no new work.
    Leaving,
    /// Gets only probes.
    Ejected,
    /// Gets no work until it has loaded what it shall serve.
    Loading,
}

/// The life of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Its id.
    pub request: SmolStr,
    /// Its account.
    pub account: SmolStr,
    /// Its deployment.
    pub deployment: SmolStr,
    /// In order.
    pub steps: Vec<Step>,
    /// How it ended; none while it is open.
    pub verdict: Option<Verdict>,
}

/// One thing that happened to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Milliseconds after the request arrived.
    pub at_ms: u64,
    /// The entry that noted it.
    pub entry: SmolStr,
    /// A single word, such as `queued`.
    pub event: SmolStr,
    /// Where and why, as key=value pairs; no key and no prompt text.
    pub detail: String,
}

//! Requests of operators as domain types.

use clock::Span;
use config::deployment::Account;
use config::deployment::Deployment;
use smol_str::SmolStr;

/// One validated call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Changes the configuration. Answered by `Reply::Changed`.
    Change(Change),
    /// Reads one deployment. Answered by `Reply::Deployment`.
    GetDeployment {
        /// Name of the deployment.
        name: SmolStr,
    },
    /// Reads the whole configuration. Answered by `Reply::Configuration`.
    ListDeployments,
    /// Reads the change history. Answered by `Reply::History`.
    GetHistory {
        /// Returns only versions below this one; starts with the newest if none.
        before: Option<u64>,
        /// Most changes to return.
        limit: usize,
    },
    /// Reads the status of the system. Answered by `Reply::Status`.
    GetStatus,
    /// Drains an entry or a backend server gracefully. Answered by `Reply::Drained`.
    Drain(Target),
    /// Reads the burn report. Answered by `Reply::Report`.
    Report {
        /// Restricts the report to this deployment.
        deployment: Option<SmolStr>,
    },
    /// Reads the trace of one request. Answered by `Reply::Explained`.
    Explain {
        /// Id of the request.
        request: SmolStr,
    },
}

impl Request {
    /// Returns whether the request may have side effects.
    pub const fn may_change(&self) -> bool {
        matches!(self, Request::Change(_) | Request::Drain(_))
    }
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Id given by the operator; the change is idempotent under it.
    pub id: SmolStr,
    /// Version that the change is based on: a conflict if its subject has changed since.
    pub expected_version: u64,
    /// Longest wait until the change is in force everywhere.
    pub wait: Span,
    /// The edit to apply.
    pub edit: Edit,
}

/// Edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Adds a deployment; `Fault::AlreadyExists` if the name is taken.
    CreateDeployment(Deployment),
    /// Replaces a deployment; `Fault::NotFound` if there is none of that name.
    ChangeDeployment(Deployment),
    /// Removes the deployment of that name.
    RemoveDeployment(SmolStr),
    /// Adds or replaces an account.
    PutAccount(Account),
    /// Removes the account of that name; `Fault::Precondition` while a deployment has a grant for it.
    RemoveAccount(SmolStr),
}

impl Edit {
    /// Returns a one-line description for the history.
    pub fn summary(&self) -> String {
        match self {
            Edit::CreateDeployment(deployment) => format!("create deployment {}", deployment.name),
            Edit::ChangeDeployment(deployment) => format!("change deployment {}", deployment.name),
            Edit::RemoveDeployment(name) => format!("remove deployment {name}"),
            Edit::PutAccount(account) => format!("put account {}", account.name),
            Edit::RemoveAccount(name) => format!("remove account {name}"),
        }
    }
}

/// Target of a drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The entry of that name.
    Entry(SmolStr),
    /// The backend server of that incarnation.
    Backend(SmolStr),
}

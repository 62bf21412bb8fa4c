//! What operators ask, in the terms of the configuration.

use clock::Span;
use config::deployment::Account;
use config::deployment::Deployment;
use smol_str::SmolStr;

/// One call of an operator; sound in itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Changes the configuration. Answered by `Reply::Changed`.
    Change(Change),
    /// Asks for one deployment. Answered by `Reply::Deployment`.
    GetDeployment {
        /// Its name.
        name: SmolStr,
    },
    /// Asks for the whole configuration. Answered by `Reply::Configuration`.
    ListDeployments,
    /// Asks for past changes. Answered by `Reply::History`.
    GetHistory {
        /// Only versions below this one; none begins with the newest.
        before: Option<u64>,
        /// Most changes to give.
        limit: usize,
    },
    /// Asks how things stand. Answered by `Reply::Status`.
    GetStatus,
    /// Takes something out of use gracefully. Answered by `Reply::Drained`.
    Drain(Target),
    /// Asks for the burn report. Answered by `Reply::Report`.
    Report {
        /// Only this deployment.
        deployment: Option<SmolStr>,
    },
    /// Asks about one request. Answered by `Reply::Explained`.
    Explain {
        /// Its id.
        request: SmolStr,
    },
}

impl Request {
    /// Whether it may leave something changed.
    pub const fn may_change(&self) -> bool {
        matches!(self, Request::Change(_) | Request::Drain(_))
    }
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The operator's name for it; a repeat under the same name takes effect once.
    pub id: SmolStr,
    /// The version that the operator saw: it is a conflict if what it touches was changed since.
    pub expected_version: u64,
    /// Longest wait for it to be in force everywhere.
    pub wait: Span,
    /// What is changed.
    pub edit: Edit,
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Adds a deployment; `Fault::AlreadyExists` if one of that name is there.
    CreateDeployment(Deployment),
    /// Replaces a deployment; `Fault::NotFound` if none of that name is there.
    ChangeDeployment(Deployment),
    /// Removes the deployment of that name.
    RemoveDeployment(SmolStr),
    /// Adds or replaces an account.
    PutAccount(Account),
    /// Removes the account of that name; `Fault::Precondition` while it is granted something.
    RemoveAccount(SmolStr),
}

impl Edit {
    /// One line for the history.
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

/// What is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The entry of that name.
    Entry(SmolStr),
    /// The backend server of that incarnation.
    Backend(SmolStr),
}

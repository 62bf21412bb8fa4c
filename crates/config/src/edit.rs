//! One step of a change: an account or deployment set or removed.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::deployment::Account;
use crate::deployment::Deployment;
use crate::snapshot::Snapshot;

/// What is done to one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Adds an account or replaces the one of that name.
    PutAccount(Account),
    /// Removes an account.
    RemoveAccount(SmolStr),
    /// Adds a deployment or replaces the one of that name.
    PutDeployment(Deployment),
    /// Removes a deployment.
    RemoveDeployment(SmolStr),
}

/// Names what an edit touches; two changes conflict if they touch the same item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Item {
    /// An account, by name.
    Account(SmolStr),
    /// A deployment, by name.
    Deployment(SmolStr),
}

impl Edit {
    /// The item it touches.
    pub fn item(&self) -> Item {
        match self {
            Edit::PutAccount(account) => Item::Account(account.name.clone()),
            Edit::RemoveAccount(name) => Item::Account(name.clone()),
            Edit::PutDeployment(deployment) => Item::Deployment(deployment.name.clone()),
            Edit::RemoveDeployment(name) => Item::Deployment(name.clone()),
        }
    }

    /// Does it to `snapshot`, whose items stay ordered by name.
    pub fn apply(&self, snapshot: &mut Snapshot) {
        match self {
            Edit::PutAccount(account) => {
                let accounts = &mut snapshot.accounts;
                match accounts.binary_search_by(|other| other.name.cmp(&account.name)) {
                    Ok(place) => accounts[place] = account.clone(),
                    Err(place) => accounts.insert(place, account.clone()),
                }
            }
            Edit::RemoveAccount(name) => snapshot.accounts.retain(|item| item.name != *name),
            Edit::PutDeployment(deployment) => {
                let deployments = &mut snapshot.deployments;
                match deployments.binary_search_by(|other| other.name.cmp(&deployment.name)) {
                    Ok(place) => deployments[place] = deployment.clone(),
                    Err(place) => deployments.insert(place, deployment.clone()),
                }
            }
            Edit::RemoveDeployment(name) => snapshot.deployments.retain(|item| item.name != *name),
        }
    }
}

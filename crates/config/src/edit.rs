//! Edits that add, replace or remove an account or a deployment.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::deployment::Account;
use crate::deployment::Deployment;
use crate::snapshot::Snapshot;

/// One edit of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Adds an account or replaces the one with the same name.
    PutAccount(Account),
    /// Removes an account by name.
    RemoveAccount(SmolStr),
    /// Adds a deployment or replaces the one with the same name.
    PutDeployment(Deployment),
    /// Removes a deployment by name.
    RemoveDeployment(SmolStr),
}

/// Item that an edit touches; two changes conflict if they touch the same item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Item {
    /// An account, by name.
    Account(SmolStr),
    /// A deployment, by name.
    Deployment(SmolStr),
}

impl Edit {
    /// Returns the item that the edit touches.
    pub fn item(&self) -> Item {
        match self {
            Edit::PutAccount(account) => Item::Account(account.name.clone()),
            Edit::RemoveAccount(name) => Item::Account(name.clone()),
            Edit::PutDeployment(deployment) => Item::Deployment(deployment.name.clone()),
            Edit::RemoveDeployment(name) => Item::Deployment(name.clone()),
        }
    }

    /// Applies the edit to `snapshot`, keeping its items sorted by name.
    pub fn apply(&self, snapshot: &mut Snapshot) {
        match self {
            Edit::PutAccount(account) => {
                let accounts = &mut snapshot.accounts;
                match accounts.binary_search_by(|other| other.name.cmp(&account.name)) {
                    Ok(index) => accounts[index] = account.clone(),
                    Err(index) => accounts.insert(index, account.clone()),
                }
            }
            Edit::RemoveAccount(name) => snapshot.accounts.retain(|item| item.name != *name),
            Edit::PutDeployment(deployment) => {
                let deployments = &mut snapshot.deployments;
                match deployments.binary_search_by(|other| other.name.cmp(&deployment.name)) {
                    Ok(index) => deployments[index] = deployment.clone(),
                    Err(index) => deployments.insert(index, deployment.clone()),
                }
            }
            Edit::RemoveDeployment(name) => snapshot.deployments.retain(|item| item.name != *name),
        }
    }
}

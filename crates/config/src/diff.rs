//! Difference between two snapshots as a list of edits.

use crate::edit::Edit;
use crate::snapshot::Snapshot;

/// Returns the edits that turn `old` into `new`. Removals come last, deployments with their grants before
/// accounts.
pub fn between(old: &Snapshot, new: &Snapshot) -> Vec<Edit> {
    let mut edits = Vec::new();
    for account in &new.accounts {
        if old.account(&account.name) != Some(account) {
            edits.push(Edit::PutAccount(account.clone()));
        }
    }
    for deployment in &new.deployments {
        if old.deployment(&deployment.name) != Some(deployment) {
            edits.push(Edit::PutDeployment(deployment.clone()));
        }
    }
    for deployment in &old.deployments {
        if new.deployment(&deployment.name).is_none() {
            edits.push(Edit::RemoveDeployment(deployment.name.clone()));
        }
    }
    for account in &old.accounts {
        if new.account(&account.name).is_none() {
            edits.push(Edit::RemoveAccount(account.name.clone()));
        }
    }
    edits
}

//! Operators' calls.

use clock::Time;
use config::deployment::Account;
use config::deployment::Deployment;
use config::snapshot::Snapshot;
use ops::fault::Fault;
use ops::reply::Changed;
use ops::reply::Reply;
use ops::request::Change;
use ops::request::Edit;
use ops::request::Request;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::entry::Entry;

impl Entry {
    /// Answers an operator, or begins what will answer it.
    pub(crate) fn operator_called(
        &mut self,
        _now: Time,
        call: u64,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        let reply = match request {
            Request::Change(change) => return self.change_asked(call, change, effects),
            Request::GetDeployment { name } => self.deployment_reply(&name),
            Request::ListDeployments => Ok(self.configuration_reply()),
            _ => Err(Fault::Unavailable(SmolStr::new_static("not served yet"))),
        };
        effects.push(Effect::Operator { call, reply });
    }

    /// Begins a change, if it is made on the newest version.
    fn change_asked(&mut self, call: u64, change: Change, effects: &mut Vec<Effect>) {
        let version = self.book.version();
        if change.expected_version != version {
            let differences = Vec::new();
            let reply = Ok(Reply::Changed(Changed::Conflict {
                version,
                differences,
            }));
            effects.push(Effect::Operator { call, reply });
            return;
        }
        match edited(self.book.snapshot(), &change.edit) {
            Ok(snapshot) => self.write_configuration(call, snapshot, effects),
            Err(fault) => effects.push(Effect::Operator {
                call,
                reply: Err(fault),
            }),
        }
    }

    /// One deployment as it stands.
    fn deployment_reply(&self, name: &str) -> Result<Reply, Fault> {
        let deployment = self.book.deployment(name);
        let deployment = deployment.ok_or_else(|| Fault::NotFound(format!("deployment {name}")))?;
        Ok(Reply::Deployment {
            version: self.book.version(),
            deployment: deployment.clone(),
        })
    }

    /// The whole configuration as it stands.
    fn configuration_reply(&self) -> Reply {
        let snapshot = self.book.snapshot();
        Reply::Configuration {
            version: snapshot.version,
            deployments: snapshot.deployments.clone(),
            accounts: snapshot.accounts.clone(),
        }
    }
}

/// The configuration after an edit, at the next version.
pub(crate) fn edited(before: &Snapshot, edit: &Edit) -> Result<Snapshot, Fault> {
    let mut after = before.clone();
    after.version += 1;
    match edit {
        Edit::CreateDeployment(deployment) => create_deployment(&mut after, deployment)?,
        Edit::ChangeDeployment(deployment) => change_deployment(&mut after, deployment)?,
        Edit::RemoveDeployment(name) => remove_deployment(&mut after, name)?,
        Edit::PutAccount(account) => put_account(&mut after, account),
        Edit::RemoveAccount(name) => remove_account(&mut after, name)?,
    }
    after
        .accounts
        .sort_by(|one, other| one.name.cmp(&other.name));
    after
        .deployments
        .sort_by(|one, other| one.name.cmp(&other.name));
    Ok(after)
}

/// Adds a deployment.
fn create_deployment(snapshot: &mut Snapshot, deployment: &Deployment) -> Result<(), Fault> {
    if snapshot.deployment(&deployment.name).is_some() {
        return Err(Fault::AlreadyExists(format!(
            "deployment {}",
            deployment.name
        )));
    }
    check_grants(snapshot, deployment)?;
    snapshot.deployments.push(deployment.clone());
    Ok(())
}

/// Replaces a deployment.
fn change_deployment(snapshot: &mut Snapshot, deployment: &Deployment) -> Result<(), Fault> {
    remove_deployment(snapshot, &deployment.name)?;
    create_deployment(snapshot, deployment)
}

/// Removes a deployment.
fn remove_deployment(snapshot: &mut Snapshot, name: &SmolStr) -> Result<(), Fault> {
    let before = snapshot.deployments.len();
    snapshot
        .deployments
        .retain(|deployment| deployment.name != *name);
    if snapshot.deployments.len() == before {
        return Err(Fault::NotFound(format!("deployment {name}")));
    }
    Ok(())
}

/// Adds or replaces an account.
fn put_account(snapshot: &mut Snapshot, account: &Account) {
    snapshot.accounts.retain(|one| one.name != account.name);
    snapshot.accounts.push(account.clone());
}

/// Removes an account that nothing is granted to.
fn remove_account(snapshot: &mut Snapshot, name: &SmolStr) -> Result<(), Fault> {
    if snapshot.account(name).is_none() {
        return Err(Fault::NotFound(format!("account {name}")));
    }
    let granted_by = snapshot
        .deployments
        .iter()
        .find(|deployment| deployment.grants.iter().any(|grant| grant.account == *name));
    if let Some(deployment) = granted_by {
        let why = format!("account {name} is granted deployment {}", deployment.name);
        return Err(Fault::Precondition(why));
    }
    snapshot.accounts.retain(|account| account.name != *name);
    Ok(())
}

/// Every grant must name an account that is there.
fn check_grants(snapshot: &Snapshot, deployment: &Deployment) -> Result<(), Fault> {
    for grant in &deployment.grants {
        if snapshot.account(&grant.account).is_none() {
            let why = format!(
                "deployment {} grants account {}, which isn't there",
                deployment.name, grant.account
            );
            return Err(Fault::Precondition(why));
        }
    }
    Ok(())
}

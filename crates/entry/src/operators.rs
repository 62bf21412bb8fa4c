//! Handlers of operators' requests.

use burn::collector;
use clock::Time;
use config::deployment::Deployment;
use config::edit;
use config::edit::Item;
use config::snapshot::Snapshot;
use ops::fault::Fault;
use ops::reply::Difference;
use ops::reply::Reply;
use ops::request::Edit;
use ops::request::Request;
use serde::Serialize;
use smol_str::SmolStr;

use crate::effect::Effect;
use crate::entry::Entry;

impl Entry {
    /// Answers an operator's request, or starts the operation that will answer it.
    pub(crate) fn operator_called(
        &mut self,
        now: Time,
        call: u64,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        let reply = match request {
            Request::Change(change) => return self.change_requested(now, call, change, effects),
            Request::GetDeployment { name } => self.deployment_reply(&name),
            Request::ListDeployments => Ok(self.configuration_reply()),
            Request::GetHistory { before, limit } => Ok(self.history_reply(before, limit)),
            Request::GetStatus => Ok(self.status_reply(now)),
            Request::Drain(target) => self.drain(now, &target, effects),
            Request::Report { deployment } => {
                let requester = call;
                return self.step_collector(
                    now,
                    collector::Event::ReportRequested {
                        requester,
                        deployment,
                    },
                    effects,
                );
            }
            Request::Explain { request } => self.explain_reply(&request),
        };
        effects.push(Effect::Operator { call, reply });
    }

    /// Returns a deployment and the configuration version.
    fn deployment_reply(&self, name: &str) -> Result<Reply, Fault> {
        let deployment = self.catalog.deployment(name);
        let deployment = deployment.ok_or_else(|| Fault::NotFound(format!("deployment {name}")))?;
        Ok(Reply::Deployment {
            version: self.catalog.version(),
            deployment: deployment.clone(),
        })
    }

    /// Returns the journal of a request.
    fn explain_reply(&self, request: &str) -> Result<Reply, Fault> {
        match self.journal.explain(request) {
            Some(explanation) => Ok(Reply::Explained(explanation)),
            None => Err(Fault::NotFound(format!("request {request} known here"))),
        }
    }

    /// Returns the whole configuration.
    fn configuration_reply(&self) -> Reply {
        let snapshot = self.catalog.snapshot();
        Reply::Configuration {
            version: snapshot.version,
            deployments: snapshot.deployments.clone(),
            accounts: snapshot.accounts.clone(),
        }
    }
}

/// Checks whether an edit is valid on a configuration.
pub(crate) fn check_edit(before: &Snapshot, edit: &Edit) -> Result<(), Fault> {
    match edit {
        Edit::CreateDeployment(deployment) => match before.deployment(&deployment.name) {
            Some(_) => Err(Fault::AlreadyExists(format!(
                "deployment {}",
                deployment.name
            ))),
            None => check_grants(before, deployment),
        },
        Edit::ChangeDeployment(deployment) => {
            require_deployment(before, &deployment.name)?;
            check_grants(before, deployment)
        }
        Edit::RemoveDeployment(name) => require_deployment(before, name),
        Edit::PutAccount(_) => Ok(()),
        Edit::RemoveAccount(name) => check_removal(before, name),
    }
}

/// Converts concurrent edits to the differences shown to operators.
pub(crate) fn differences(newest: &Snapshot, edits: Vec<edit::Edit>) -> Vec<Difference> {
    let mut differences: Vec<Difference> = edits
        .into_iter()
        .map(|edit| {
            let (subject, after) = match edit.item() {
                Item::Account(name) => {
                    let after = newest.account(&name).map(as_json);
                    (format!("account {name}"), after)
                }
                Item::Deployment(name) => {
                    let after = newest.deployment(&name).map(as_json);
                    (format!("deployment {name}"), after)
                }
            };
            Difference {
                subject,
                field: String::new(),
                before: String::new(),
                after: after.unwrap_or_default(),
            }
        })
        .collect();
    differences.sort_by(|a, b| a.subject.cmp(&b.subject));
    differences.dedup();
    differences
}

fn as_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn require_deployment(snapshot: &Snapshot, name: &str) -> Result<(), Fault> {
    match snapshot.deployment(name) {
        Some(_) => Ok(()),
        None => Err(Fault::NotFound(format!("deployment {name}"))),
    }
}

/// Checks that an account can be removed: it must exist and have no grants.
fn check_removal(snapshot: &Snapshot, name: &SmolStr) -> Result<(), Fault> {
    if snapshot.account(name).is_none() {
        return Err(Fault::NotFound(format!("account {name}")));
    }
    let granted_by = snapshot
        .deployments
        .iter()
        .find(|deployment| deployment.grants.iter().any(|grant| grant.account == *name));
    match granted_by {
        Some(deployment) => Err(Fault::Precondition(format!(
            "account {name} is granted deployment {}",
            deployment.name
        ))),
        None => Ok(()),
    }
}

/// Checks that every granted account exists.
fn check_grants(snapshot: &Snapshot, deployment: &Deployment) -> Result<(), Fault> {
    let unknown = deployment
        .grants
        .iter()
        .find(|grant| snapshot.account(&grant.account).is_none());
    match unknown {
        Some(grant) => Err(Fault::Precondition(format!(
            "deployment {} grants account {}, which isn't there",
            deployment.name, grant.account
        ))),
        None => Ok(()),
    }
}

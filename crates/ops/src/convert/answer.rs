//! Reads answers.

use config::check::Violation;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::convert::configuration::account_from;
use crate::convert::configuration::deployment_from;
use crate::convert::report::report_from;
use crate::convert::status::status_from;
use crate::reply::Changed;
use crate::reply::Difference;
use crate::reply::Explanation;
use crate::reply::PastChange;
use crate::reply::Reply;
use crate::reply::Step;
use crate::wire;
use crate::wire::change_result::Outcome;

/// An answer that makes no sense to this version; what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Garbled(pub String);

impl From<Vec<Violation>> for Garbled {
    fn from(violations: Vec<Violation>) -> Garbled {
        let lines: Vec<String> = violations.iter().map(Violation::to_string).collect();
        Garbled(lines.join("; "))
    }
}

impl TryFrom<wire::ChangeResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::ChangeResult) -> Result<Reply, Garbled> {
        let changed = match message.outcome {
            Some(Outcome::Accepted(accepted)) => Changed::Accepted {
                version: accepted.version,
            },
            Some(Outcome::Committed(committed)) => Changed::Committed {
                version: committed.version,
                waiting_for: committed
                    .waiting_for
                    .into_iter()
                    .map(SmolStr::from)
                    .collect(),
            },
            Some(Outcome::Conflict(conflict)) => Changed::Conflict {
                version: conflict.version,
                differences: conflict.differences.into_iter().map(difference).collect(),
            },
            None => {
                return Err(Garbled(
                    "the result of the change is of an unknown kind".to_owned(),
                ));
            }
        };
        Ok(Reply::Changed(changed))
    }
}

impl TryFrom<wire::GetDeploymentResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::GetDeploymentResult) -> Result<Reply, Garbled> {
        Ok(Reply::Deployment {
            version: message.version,
            deployment: deployment_from(message.deployment.unwrap_or_default())?,
        })
    }
}

impl TryFrom<wire::ListDeploymentsResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::ListDeploymentsResult) -> Result<Reply, Garbled> {
        let deployments: Result<Vec<_>, _> = message
            .deployments
            .into_iter()
            .map(deployment_from)
            .collect();
        let accounts: Result<Vec<_>, _> = message.accounts.into_iter().map(account_from).collect();
        Ok(Reply::Configuration {
            version: message.version,
            deployments: deployments?,
            accounts: accounts?,
        })
    }
}

impl TryFrom<wire::GetHistoryResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::GetHistoryResult) -> Result<Reply, Garbled> {
        let changes = message.changes.into_iter().map(past_change).collect();
        Ok(Reply::History(changes))
    }
}

impl TryFrom<wire::GetStatusResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::GetStatusResult) -> Result<Reply, Garbled> {
        Ok(Reply::Status(status_from(message)))
    }
}

impl TryFrom<wire::DrainResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::DrainResult) -> Result<Reply, Garbled> {
        Ok(Reply::Drained {
            already_leaving: message.already_leaving,
            running: message.running,
        })
    }
}

impl TryFrom<wire::ReportResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::ReportResult) -> Result<Reply, Garbled> {
        Ok(Reply::Report(report_from(message)))
    }
}

impl TryFrom<wire::ExplainResult> for Reply {
    type Error = Garbled;

    fn try_from(message: wire::ExplainResult) -> Result<Reply, Garbled> {
        Ok(Reply::Explained(Explanation {
            request: message.request.into(),
            account: message.account.into(),
            deployment: message.deployment.into(),
            steps: message.steps.into_iter().map(step).collect(),
            verdict: Verdict::parse(&message.verdict),
        }))
    }
}

/// Reads a difference.
fn difference(difference: wire::Difference) -> Difference {
    Difference {
        subject: difference.subject,
        field: difference.field,
        before: difference.before,
        after: difference.after,
    }
}

/// Reads a past change.
fn past_change(change: wire::PastChange) -> PastChange {
    PastChange {
        version: change.version,
        change_id: change.change_id.into(),
        summary: change.summary,
        written_unix_ms: change.written_unix_ms,
    }
}

/// Reads one step.
fn step(step: wire::Step) -> Step {
    Step {
        at_ms: step.at_ms,
        entry: step.entry.into(),
        event: step.event.into(),
        detail: step.detail,
    }
}

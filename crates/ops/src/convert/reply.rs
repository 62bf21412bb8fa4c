//! Writes answers.

use tonic::Status;
use verdict::Verdict;

use crate::convert::configuration::account_to;
use crate::convert::configuration::deployment_to;
use crate::convert::report::report_to;
use crate::convert::status::status_to;
use crate::reply::Changed;
use crate::reply::Difference;
use crate::reply::Explanation;
use crate::reply::PastChange;
use crate::reply::Reply;
use crate::reply::Step;
use crate::wire;
use crate::wire::change_result::Outcome;

impl TryFrom<Reply> for wire::ChangeResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::ChangeResult, Status> {
        match reply {
            Reply::Changed(changed) => Ok(wire::ChangeResult {
                outcome: Some(outcome(changed)),
            }),
            _ => Err(mismatch()),
        }
    }
}

impl TryFrom<Reply> for wire::GetDeploymentResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::GetDeploymentResult, Status> {
        match reply {
            Reply::Deployment {
                version,
                deployment,
            } => Ok(wire::GetDeploymentResult {
                version,
                deployment: Some(deployment_to(deployment)),
            }),
            _ => Err(mismatch()),
        }
    }
}

impl TryFrom<Reply> for wire::ListDeploymentsResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::ListDeploymentsResult, Status> {
        match reply {
            Reply::Configuration {
                version,
                deployments,
                accounts,
            } => Ok(wire::ListDeploymentsResult {
                version,
                deployments: deployments.into_iter().map(deployment_to).collect(),
                accounts: accounts.into_iter().map(account_to).collect(),
            }),
            _ => Err(mismatch()),
        }
    }
}

impl TryFrom<Reply> for wire::GetHistoryResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::GetHistoryResult, Status> {
        match reply {
            Reply::History(changes) => Ok(wire::GetHistoryResult {
                changes: changes.into_iter().map(past_change).collect(),
            }),
            _ => Err(mismatch()),
        }
    }
}

impl TryFrom<Reply> for wire::GetStatusResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::GetStatusResult, Status> {
        match reply {
            Reply::Status(status) => Ok(status_to(status)),
            _ => Err(mismatch()),
        }
    }
}

impl TryFrom<Reply> for wire::DrainResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::DrainResult, Status> {
        match reply {
            Reply::Drained {
                already_leaving,
                running,
            } => Ok(wire::DrainResult {
                already_leaving,
                running,
            }),
            _ => Err(mismatch()),
        }
    }
}

impl TryFrom<Reply> for wire::ReportResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::ReportResult, Status> {
        match reply {
            Reply::Report(report) => Ok(report_to(report)),
            _ => Err(mismatch()),
        }
    }
}

impl TryFrom<Reply> for wire::ExplainResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::ExplainResult, Status> {
        match reply {
            Reply::Explained(explanation) => Ok(explained(explanation)),
            _ => Err(mismatch()),
        }
    }
}

/// The answer is of another kind than the question: a fault of this program.
fn mismatch() -> Status {
    Status::internal("the answer is of another kind than the call")
}

/// Writes what became of a change.
fn outcome(changed: Changed) -> Outcome {
    match changed {
        Changed::Accepted { version } => Outcome::Accepted(wire::Accepted { version }),
        Changed::Committed {
            version,
            waiting_for,
        } => Outcome::Committed(wire::Committed {
            version,
            waiting_for: waiting_for.into_iter().map(String::from).collect(),
        }),
        Changed::Conflict {
            version,
            differences,
        } => Outcome::Conflict(wire::Conflict {
            version,
            differences: differences.into_iter().map(difference).collect(),
        }),
    }
}

/// Writes a difference.
fn difference(difference: Difference) -> wire::Difference {
    wire::Difference {
        subject: difference.subject,
        field: difference.field,
        before: difference.before,
        after: difference.after,
    }
}

/// Writes a past change.
fn past_change(change: PastChange) -> wire::PastChange {
    wire::PastChange {
        version: change.version,
        change_id: change.change_id.into(),
        summary: change.summary,
        written_unix_ms: change.written_unix_ms,
    }
}

/// Writes the life of a request.
fn explained(explanation: Explanation) -> wire::ExplainResult {
    let verdict = explanation.verdict.map_or("", Verdict::as_str);
    wire::ExplainResult {
        request: explanation.request.into(),
        account: explanation.account.into(),
        deployment: explanation.deployment.into(),
        steps: explanation.steps.into_iter().map(step).collect(),
        verdict: verdict.to_owned(),
    }
}

/// Writes one step.
fn step(step: Step) -> wire::Step {
    wire::Step {
        at_ms: step.at_ms,
        entry: step.entry.into(),
        event: step.event.into(),
        detail: step.detail,
    }
}

//! Encodes replies; used by the server.

use tonic::Status;
use verdict::Verdict;

use crate::convert::configuration::encode_account;
use crate::convert::configuration::encode_deployment;
use crate::convert::report::encode_report;
use crate::convert::status::encode_status;
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
                outcome: Some(encode_outcome(changed)),
            }),
            _ => Err(unexpected_kind()),
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
                deployment: Some(encode_deployment(deployment)),
            }),
            _ => Err(unexpected_kind()),
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
                deployments: deployments.into_iter().map(encode_deployment).collect(),
                accounts: accounts.into_iter().map(encode_account).collect(),
            }),
            _ => Err(unexpected_kind()),
        }
    }
}

impl TryFrom<Reply> for wire::GetHistoryResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::GetHistoryResult, Status> {
        match reply {
            Reply::History(changes) => Ok(wire::GetHistoryResult {
                changes: changes.into_iter().map(encode_past_change).collect(),
            }),
            _ => Err(unexpected_kind()),
        }
    }
}

impl TryFrom<Reply> for wire::GetStatusResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::GetStatusResult, Status> {
        match reply {
            Reply::Status(status) => Ok(encode_status(status)),
            _ => Err(unexpected_kind()),
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
            _ => Err(unexpected_kind()),
        }
    }
}

impl TryFrom<Reply> for wire::ReportResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::ReportResult, Status> {
        match reply {
            Reply::Report(report) => Ok(encode_report(report)),
            _ => Err(unexpected_kind()),
        }
    }
}

impl TryFrom<Reply> for wire::ExplainResult {
    type Error = Status;

    fn try_from(reply: Reply) -> Result<wire::ExplainResult, Status> {
        match reply {
            Reply::Explained(explanation) => Ok(encode_explanation(explanation)),
            _ => Err(unexpected_kind()),
        }
    }
}

/// Returns the status for a reply that doesn't match its call: a bug in this program.
fn unexpected_kind() -> Status {
    Status::internal("the answer is of another kind than the call")
}

/// Encodes the outcome of a change.
fn encode_outcome(changed: Changed) -> Outcome {
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
            differences: differences.into_iter().map(encode_difference).collect(),
        }),
    }
}

/// Encodes a difference.
fn encode_difference(difference: Difference) -> wire::Difference {
    wire::Difference {
        subject: difference.subject,
        field: difference.field,
        before: difference.before,
        after: difference.after,
    }
}

/// Encodes a past change.
fn encode_past_change(change: PastChange) -> wire::PastChange {
    wire::PastChange {
        version: change.version,
        change_id: change.change_id.into(),
        summary: change.summary,
        written_unix_ms: change.written_unix_ms,
    }
}

/// Encodes the trace of a request.
fn encode_explanation(explanation: Explanation) -> wire::ExplainResult {
    let verdict = explanation.verdict.map_or("", Verdict::as_str);
    wire::ExplainResult {
        request: explanation.request.into(),
        account: explanation.account.into(),
        deployment: explanation.deployment.into(),
        steps: explanation.steps.into_iter().map(encode_step).collect(),
        verdict: verdict.to_owned(),
    }
}

/// Encodes a step.
fn encode_step(step: Step) -> wire::Step {
    wire::Step {
        at_ms: step.at_ms,
        entry: step.entry.into(),
        event: step.event.into(),
        detail: step.detail,
    }
}

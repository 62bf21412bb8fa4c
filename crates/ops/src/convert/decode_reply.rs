//! Decodes replies; used by the client.

use config::check::Violation;
use smol_str::SmolStr;
use verdict::Verdict;

use crate::convert::configuration::decode_account;
use crate::convert::configuration::decode_deployment;
use crate::convert::report::decode_report;
use crate::convert::status::decode_status;
use crate::reply::Changed;
use crate::reply::Difference;
use crate::reply::Explanation;
use crate::reply::PastChange;
use crate::reply::Reply;
use crate::reply::Step;
use crate::wire;
use crate::wire::change_result::Outcome;

/// A reply that this version can't interpret, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl From<Vec<Violation>> for DecodeError {
    fn from(violations: Vec<Violation>) -> DecodeError {
        let lines: Vec<String> = violations.iter().map(Violation::to_string).collect();
        DecodeError(lines.join("; "))
    }
}

impl TryFrom<wire::ChangeResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::ChangeResult) -> Result<Reply, DecodeError> {
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
                differences: conflict
                    .differences
                    .into_iter()
                    .map(decode_difference)
                    .collect(),
            },
            None => {
                return Err(DecodeError(
                    "the result of the change is of an unknown kind".to_owned(),
                ));
            }
        };
        Ok(Reply::Changed(changed))
    }
}

impl TryFrom<wire::GetDeploymentResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::GetDeploymentResult) -> Result<Reply, DecodeError> {
        Ok(Reply::Deployment {
            version: message.version,
            deployment: decode_deployment(message.deployment.unwrap_or_default())?,
        })
    }
}

impl TryFrom<wire::ListDeploymentsResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::ListDeploymentsResult) -> Result<Reply, DecodeError> {
        let deployments: Result<Vec<_>, _> = message
            .deployments
            .into_iter()
            .map(decode_deployment)
            .collect();
        let accounts: Result<Vec<_>, _> =
            message.accounts.into_iter().map(decode_account).collect();
        Ok(Reply::Configuration {
            version: message.version,
            deployments: deployments?,
            accounts: accounts?,
        })
    }
}

impl TryFrom<wire::GetHistoryResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::GetHistoryResult) -> Result<Reply, DecodeError> {
        let changes = message
            .changes
            .into_iter()
            .map(decode_past_change)
            .collect();
        Ok(Reply::History(changes))
    }
}

impl TryFrom<wire::GetStatusResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::GetStatusResult) -> Result<Reply, DecodeError> {
        Ok(Reply::Status(decode_status(message)))
    }
}

impl TryFrom<wire::DrainResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::DrainResult) -> Result<Reply, DecodeError> {
        Ok(Reply::Drained {
            already_leaving: message.already_leaving,
            running: message.running,
        })
    }
}

impl TryFrom<wire::ReportResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::ReportResult) -> Result<Reply, DecodeError> {
        Ok(Reply::Report(decode_report(message)))
    }
}

impl TryFrom<wire::ExplainResult> for Reply {
    type Error = DecodeError;

    fn try_from(message: wire::ExplainResult) -> Result<Reply, DecodeError> {
        Ok(Reply::Explained(Explanation {
            request: message.request.into(),
            account: message.account.into(),
            deployment: message.deployment.into(),
            steps: message.steps.into_iter().map(decode_step).collect(),
            verdict: Verdict::parse(&message.verdict),
        }))
    }
}

/// Decodes a difference.
fn decode_difference(difference: wire::Difference) -> Difference {
    Difference {
        subject: difference.subject,
        field: difference.field,
        before: difference.before,
        after: difference.after,
    }
}

/// Decodes a past change.
fn decode_past_change(change: wire::PastChange) -> PastChange {
    PastChange {
        version: change.version,
        change_id: change.change_id.into(),
        summary: change.summary,
        written_unix_ms: change.written_unix_ms,
    }
}

/// Decodes a step.
fn decode_step(step: wire::Step) -> Step {
    Step {
        at_ms: step.at_ms,
        entry: step.entry.into(),
        event: step.event.into(),
        detail: step.detail,
    }
}

//! Encodes requests; used by the client.

use crate::convert::configuration::encode_account;
use crate::convert::configuration::encode_deployment;
use crate::request::Change;
use crate::request::Target;
use crate::wire;
use crate::wire::drain_request::Target as WireTarget;

/// Encodes the fields that all changes have in common.
pub fn change(change: &Change) -> Option<wire::Change> {
    Some(wire::Change {
        expected_version: change.expected_version,
        change_id: change.id.to_string(),
        wait_ms: change.wait.as_millis(),
    })
}

/// Encodes the creation of a deployment.
pub fn create(
    change: Option<wire::Change>,
    deployment: config::deployment::Deployment,
) -> wire::CreateDeploymentRequest {
    wire::CreateDeploymentRequest {
        change,
        deployment: Some(encode_deployment(deployment)),
    }
}

/// Encodes the replacement of a deployment.
pub fn replace(
    change: Option<wire::Change>,
    deployment: config::deployment::Deployment,
) -> wire::ChangeDeploymentRequest {
    wire::ChangeDeploymentRequest {
        change,
        deployment: Some(encode_deployment(deployment)),
    }
}

/// Encodes the creation or replacement of an account.
pub fn put(
    change: Option<wire::Change>,
    account: config::deployment::Account,
) -> wire::PutAccountRequest {
    wire::PutAccountRequest {
        change,
        account: Some(encode_account(account)),
    }
}

/// Encodes a drain request.
pub fn drain(target: Target) -> wire::DrainRequest {
    let target = match target {
        Target::Entry(name) => WireTarget::Entry(name.into()),
        Target::Backend(incarnation) => WireTarget::Backend(incarnation.into()),
    };
    wire::DrainRequest {
        target: Some(target),
    }
}

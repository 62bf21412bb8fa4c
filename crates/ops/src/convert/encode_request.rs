//! Writes calls.

use crate::convert::configuration::encode_account;
use crate::convert::configuration::encode_deployment;
use crate::request::Change;
use crate::request::Target;
use crate::wire;
use crate::wire::drain_request::Target as WireTarget;

/// Writes what every change carries.
pub fn change(change: &Change) -> Option<wire::Change> {
    Some(wire::Change {
        expected_version: change.expected_version,
        change_id: change.id.to_string(),
        wait_ms: change.wait.as_millis(),
    })
}

/// Writes a creation.
pub fn create(
    change: Option<wire::Change>,
    deployment: config::deployment::Deployment,
) -> wire::CreateDeploymentRequest {
    wire::CreateDeploymentRequest {
        change,
        deployment: Some(encode_deployment(deployment)),
    }
}

/// Writes a replacement.
pub fn replace(
    change: Option<wire::Change>,
    deployment: config::deployment::Deployment,
) -> wire::ChangeDeploymentRequest {
    wire::ChangeDeploymentRequest {
        change,
        deployment: Some(encode_deployment(deployment)),
    }
}

/// Writes an account's addition or replacement.
pub fn put(
    change: Option<wire::Change>,
    account: config::deployment::Account,
) -> wire::PutAccountRequest {
    wire::PutAccountRequest {
        change,
        account: Some(encode_account(account)),
    }
}

/// Writes what is drained.
pub fn drain(target: Target) -> wire::DrainRequest {
    let target = match target {
        Target::Entry(name) => WireTarget::Entry(name.into()),
        Target::Backend(incarnation) => WireTarget::Backend(incarnation.into()),
    };
    wire::DrainRequest {
        target: Some(target),
    }
}

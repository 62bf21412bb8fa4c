//! Conversion of deployments and accounts.

use config::check;
use config::check::Violation;
use config::deployment::Account;
use config::deployment::CallPattern;
use config::deployment::Deployment;
use config::deployment::Fleet;
use config::deployment::Grant;
use config::deployment::Kind;
use smol_str::SmolStr;

use crate::wire;
use crate::wire::deployment::Kind as WireKind;

/// Decodes and validates a deployment; the error lists all violations.
pub fn decode_deployment(message: wire::Deployment) -> Result<Deployment, Vec<Violation>> {
    let kind = message.kind.map(decode_kind);
    let deployment = Deployment {
        name: message.name.into(),
        kind: kind.clone().unwrap_or(Kind::Service),
        pool: message.pool.into(),
        grants: message.grants.into_iter().map(decode_grant).collect(),
        non_idempotent: message
            .non_idempotent
            .into_iter()
            .map(decode_call_pattern)
            .collect(),
        checks_fencing: message.checks_fencing,
        fleet: message.fleet.map(decode_fleet).unwrap_or_default(),
    };
    let mut violations = check::deployment(&deployment);
    if kind.is_none() {
        violations.push(Violation::new(
            "kind",
            "expected model or service, found none",
        ));
    }
    if violations.is_empty() {
        Ok(deployment)
    } else {
        Err(violations)
    }
}

/// Encodes a deployment.
pub fn encode_deployment(deployment: Deployment) -> wire::Deployment {
    wire::Deployment {
        name: deployment.name.into(),
        kind: Some(encode_kind(deployment.kind)),
        pool: deployment.pool.into(),
        grants: deployment.grants.into_iter().map(encode_grant).collect(),
        non_idempotent: deployment
            .non_idempotent
            .into_iter()
            .map(encode_call_pattern)
            .collect(),
        checks_fencing: deployment.checks_fencing,
        fleet: encode_fleet(deployment.fleet),
    }
}

/// Decodes fleet bounds.
fn decode_fleet(fleet: wire::Fleet) -> Fleet {
    Fleet {
        capacity: fleet.capacity,
        least: fleet.least,
        most: fleet.most,
    }
}

/// Encodes fleet bounds; all-zero bounds are omitted, as in releases that had none.
fn encode_fleet(fleet: Fleet) -> Option<wire::Fleet> {
    (fleet != Fleet::default()).then_some(wire::Fleet {
        capacity: fleet.capacity,
        least: fleet.least,
        most: fleet.most,
    })
}

/// Decodes and validates an account; the error lists all violations.
pub fn decode_account(message: wire::Account) -> Result<Account, Vec<Violation>> {
    let priority = u8::try_from(message.priority);
    let account = Account {
        name: message.name.into(),
        key_hashes: message.key_hashes.into_iter().map(SmolStr::from).collect(),
        weight: message.weight,
        priority: priority.unwrap_or_default(),
        tokens_per_second: message.tokens_per_second,
        concurrent: message.concurrent,
    };
    let mut violations = check::account(&account);
    if priority.is_err() {
        let message = format!("expected 0 to 9, found {}", message.priority);
        violations.push(Violation::new("priority", message));
    }
    if violations.is_empty() {
        Ok(account)
    } else {
        Err(violations)
    }
}

/// Encodes an account.
pub fn encode_account(account: Account) -> wire::Account {
    wire::Account {
        name: account.name.into(),
        key_hashes: account.key_hashes.into_iter().map(String::from).collect(),
        weight: account.weight,
        priority: u32::from(account.priority),
        tokens_per_second: account.tokens_per_second,
        concurrent: account.concurrent,
    }
}

/// Decodes the kind of a deployment.
fn decode_kind(kind: WireKind) -> Kind {
    match kind {
        WireKind::Model(model) => Kind::Model {
            model: model.model.into(),
            adapter: model.adapter.into(),
            version: model.version.into(),
        },
        WireKind::Service(wire::PlainService {}) => Kind::Service,
    }
}

/// Encodes the kind of a deployment.
fn encode_kind(kind: Kind) -> WireKind {
    match kind {
        Kind::Model {
            model,
            adapter,
            version,
        } => WireKind::Model(wire::Model {
            model: model.into(),
            adapter: adapter.into(),
            version: version.into(),
        }),
        Kind::Service => WireKind::Service(wire::PlainService {}),
    }
}

/// Decodes a grant.
fn decode_grant(grant: wire::Grant) -> Grant {
    Grant {
        account: grant.account.into(),
        first_token_ms: grant.first_token_ms,
        token_gap_ms: grant.token_gap_ms,
        share_per_mille: grant.share_per_mille,
    }
}

/// Encodes a grant.
fn encode_grant(grant: Grant) -> wire::Grant {
    wire::Grant {
        account: grant.account.into(),
        first_token_ms: grant.first_token_ms,
        token_gap_ms: grant.token_gap_ms,
        share_per_mille: grant.share_per_mille,
    }
}

/// Decodes a call pattern.
fn decode_call_pattern(pattern: wire::CallPattern) -> CallPattern {
    CallPattern {
        method: pattern.method.into(),
        path_prefix: pattern.path_prefix.into(),
    }
}

/// Encodes a call pattern.
fn encode_call_pattern(pattern: CallPattern) -> wire::CallPattern {
    wire::CallPattern {
        method: pattern.method.into(),
        path_prefix: pattern.path_prefix.into(),
    }
}

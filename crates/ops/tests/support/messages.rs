//! One message of each kind with every field set, as sent by release 0.1.

use ops::wire;
use prost::Message;
use prost::encoding::WireType;
use prost::encoding::encode_key;
use prost::encoding::encode_varint;

/// A field unknown to every release: number 1000, four bytes.
const UNKNOWN_FIELD: [u8; 7] = [0xc2, 0x3e, 4, b'l', b'a', b't', b'e'];

/// Name of a golden file and the bytes of its message.
pub type Sample = (&'static str, Vec<u8>);

/// Returns all messages of release 0.1.
pub fn samples() -> Vec<Sample> {
    vec![
        ("create_deployment_request", create().encode_to_vec()),
        ("create_with_fleet_request", with_fleet().encode_to_vec()),
        ("change_deployment_request", replace().encode_to_vec()),
        ("remove_deployment_request", remove().encode_to_vec()),
        ("put_account_request", put().encode_to_vec()),
        (
            "drain_entry_request",
            drain(wire::drain_request::Target::Entry("entry-3".into())),
        ),
        (
            "drain_backend_request",
            drain(wire::drain_request::Target::Backend("i-1.1".into())),
        ),
        ("change_result_accepted", result(accepted())),
        ("change_result_committed", result(committed())),
        ("change_result_conflict", result(conflict())),
        ("list_deployments_result", list().encode_to_vec()),
        ("get_history_result", history().encode_to_vec()),
        ("get_status_result", status().encode_to_vec()),
        ("report_result", report().encode_to_vec()),
        ("explain_result", explain().encode_to_vec()),
        ("with_unknown_fields", with_unknown_fields()),
    ]
}

/// Returns the fields that all changes have in common.
pub fn change() -> wire::Change {
    wire::Change {
        expected_version: 7,
        change_id: "c-1".to_owned(),
        wait_ms: 2_000,
    }
}

/// Returns the creation of a model's deployment.
pub fn create() -> wire::CreateDeploymentRequest {
    wire::CreateDeploymentRequest {
        change: Some(change()),
        deployment: Some(thesis()),
    }
}

/// Returns the creation of a deployment whose pool is scaled automatically.
fn with_fleet() -> wire::CreateDeploymentRequest {
    let fleet = wire::Fleet {
        capacity: 8,
        least: 3,
        most: 12,
    };
    wire::CreateDeploymentRequest {
        change: Some(change()),
        deployment: Some(wire::Deployment {
            fleet: Some(fleet),
            ..thesis()
        }),
    }
}

/// Returns a creation with unknown fields, at the top level and inside the deployment.
pub fn with_unknown_fields() -> Vec<u8> {
    let change = change().encode_to_vec();
    let mut deployment = thesis().encode_to_vec();
    deployment.extend(UNKNOWN_FIELD);
    let mut bytes = Vec::new();
    for (number, part) in [(1, change), (2, deployment)] {
        encode_key(number, WireType::LengthDelimited, &mut bytes);
        encode_varint(part.len() as u64, &mut bytes);
        bytes.extend(part);
    }
    bytes.extend(UNKNOWN_FIELD);
    bytes
}

/// Returns a replacement that turns the deployment into a plain service.
pub fn replace() -> wire::ChangeDeploymentRequest {
    let kind = wire::deployment::Kind::Service(wire::PlainService {});
    wire::ChangeDeploymentRequest {
        change: Some(change()),
        deployment: Some(wire::Deployment {
            kind: Some(kind),
            ..thesis()
        }),
    }
}

/// Returns a model's deployment.
fn thesis() -> wire::Deployment {
    wire::Deployment {
        name: "thesis".to_owned(),
        kind: Some(wire::deployment::Kind::Model(wire::Model {
            model: "base-7b".to_owned(),
            adapter: "theses".to_owned(),
            version: "v1".to_owned(),
        })),
        pool: "thesis".to_owned(),
        grants: vec![grant()],
        non_idempotent: vec![wire::CallPattern {
            method: "POST".to_owned(),
            path_prefix: "/receipts".to_owned(),
        }],
        checks_fencing: true,
        fleet: None,
    }
}

/// Returns a grant.
fn grant() -> wire::Grant {
    wire::Grant {
        account: "branches".to_owned(),
        first_token_ms: 480,
        token_gap_ms: 61,
        share_per_mille: 950,
    }
}

/// Returns the removal of a deployment.
fn remove() -> wire::RemoveDeploymentRequest {
    wire::RemoveDeploymentRequest {
        change: Some(change()),
        name: "thesis".to_owned(),
    }
}

/// Returns an account.
fn branches() -> wire::Account {
    wire::Account {
        name: "branches".to_owned(),
        key_hashes: vec!["ab".repeat(32)],
        weight: 3,
        priority: 2,
        tokens_per_second: 9_000,
        concurrent: 40,
    }
}

/// Returns the creation of an account.
fn put() -> wire::PutAccountRequest {
    wire::PutAccountRequest {
        change: Some(change()),
        account: Some(branches()),
    }
}

/// Encodes a drain request.
fn drain(target: wire::drain_request::Target) -> Vec<u8> {
    let message = wire::DrainRequest {
        target: Some(target),
    };
    message.encode_to_vec()
}

/// Encodes the result of a change.
fn result(outcome: wire::change_result::Outcome) -> Vec<u8> {
    let message = wire::ChangeResult {
        outcome: Some(outcome),
    };
    message.encode_to_vec()
}

/// Returns the outcome of a change that is in force everywhere.
fn accepted() -> wire::change_result::Outcome {
    wire::change_result::Outcome::Accepted(wire::Accepted { version: 8 })
}

/// Returns the outcome of a change that is committed, but not yet in force everywhere.
fn committed() -> wire::change_result::Outcome {
    wire::change_result::Outcome::Committed(wire::Committed {
        version: 8,
        waiting_for: vec!["entry-2".to_owned(), "entry-3".to_owned()],
    })
}

/// Returns the outcome of a change that lost against a concurrent one.
fn conflict() -> wire::change_result::Outcome {
    wire::change_result::Outcome::Conflict(wire::Conflict {
        version: 9,
        differences: vec![wire::Difference {
            subject: "deployment thesis".to_owned(),
            field: "kind.version".to_owned(),
            before: "\"v1\"".to_owned(),
            after: "\"v2\"".to_owned(),
        }],
    })
}

/// Returns a whole configuration.
fn list() -> wire::ListDeploymentsResult {
    wire::ListDeploymentsResult {
        version: 8,
        deployments: vec![thesis()],
        accounts: vec![branches()],
    }
}

/// Returns a change history.
fn history() -> wire::GetHistoryResult {
    wire::GetHistoryResult {
        changes: vec![wire::PastChange {
            version: 8,
            change_id: "c-1".to_owned(),
            summary: "create deployment thesis".to_owned(),
            written_unix_ms: 1_800_000_000_000,
        }],
    }
}

/// Returns a system status.
fn status() -> wire::GetStatusResult {
    wire::GetStatusResult {
        entry: "entry-1".to_owned(),
        version: 8,
        store_available: true,
        entries: vec![wire::EntryStatus {
            name: "entry-2".to_owned(),
            zone: "b".to_owned(),
            address: "127.0.0.1:8000".to_owned(),
            applied_version: 7,
            lease: wire::LeaseState::Overdue.into(),
            release: "0.1.0".to_owned(),
        }],
        backends: vec![wire::BackendStatus {
            incarnation: "i-1.1".to_owned(),
            pool: "thesis".to_owned(),
            zone: "a".to_owned(),
            state: wire::BackendState::Ejected.into(),
            running: 4,
        }],
    }
}

/// Returns a burn report.
fn report() -> wire::ReportResult {
    let quantiles = wire::Quantiles {
        p50: 10,
        p95: 20,
        p99: 30,
    };
    wire::ReportResult {
        rows: vec![wire::ReportRow {
            deployment: "thesis".to_owned(),
            account: "branches".to_owned(),
            target: Some(grant()),
            requests: 1_000,
            within: 940,
            budget_left: -0.2,
            burn_short: 2.5,
            burn_long: 1.2,
            misses: Some(wire::ReportMisses {
                waiting: 1,
                slow_backend: 2,
                reclaim: 3,
                refused: 4,
                store: 5,
                other: 45,
            }),
            first_token_ms: Some(quantiles),
            worst_gap_ms: Some(quantiles),
            cost_micros: 9_400,
            cost_per_within_micros: 10.0,
            recomputed_tokens: 77,
            points: vec![wire::ReportPoint {
                ago_ms: 60_000,
                requests: 10,
                within: 9,
            }],
        }],
        gaps: vec![wire::ReportGap {
            entry: "entry-2".to_owned(),
            from_ago_ms: 5_000,
            to_ago_ms: 1_000,
        }],
        short_window_ms: 300_000,
        long_window_ms: 3_600_000,
        period_ms: 86_400_000,
    }
}

/// Returns the trace of a request.
fn explain() -> wire::ExplainResult {
    wire::ExplainResult {
        request: "entry-1.42".to_owned(),
        account: "branches".to_owned(),
        deployment: "thesis".to_owned(),
        steps: vec![wire::Step {
            at_ms: 12,
            entry: "entry-1".to_owned(),
            event: "moved".to_owned(),
            detail: "from=i-1.1 to=i-2.1 how=kv".to_owned(),
        }],
        verdict: "done".to_owned(),
    }
}

//! Validation of a single deployment or account.
//!
//! All violations are reported together, so that an operator can fix a definition in one go. Rules that
//! depend on the rest of the configuration, such as a missing account, are checked where a change is made.

use std::collections::BTreeSet;
use std::fmt;

use crate::deployment::Account;
use crate::deployment::CallPattern;
use crate::deployment::Deployment;
use crate::deployment::Fleet;
use crate::deployment::Grant;
use crate::deployment::Kind;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Maximum latency target, one hour.
const MAX_TARGET_MS: u64 = 3_600_000;
/// Maximum share of requests that a grant can promise; 1000 would leave no error budget.
const MAX_SHARE_PER_MILLE: u32 = 999;
/// Maximum number of requests that one instance may run concurrently.
const MAX_CAPACITY: u32 = 10_000;
/// Maximum number of instances in a pool.
const MAX_INSTANCES: u32 = 100_000;
/// Maximum weight of an account.
const MAX_WEIGHT: u32 = 1_000_000;
/// Maximum priority number of an account.
const MAX_PRIORITY: u8 = 9;
/// Length of a SHA-256 digest in hexadecimal digits.
const SHA256_HEX_DIGITS: usize = 64;

/// One violated rule of a definition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Path of the field, such as `grants[1].share_per_mille`.
    pub field: String,
    /// Expected value.
    pub message: String,
}

impl Violation {
    /// Creates a violation of what `field` is expected to be.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Violation {
        Violation {
            field: field.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.message)
    }
}

/// Returns all violations of a deployment.
pub fn deployment(deployment: &Deployment) -> Vec<Violation> {
    let mut violations = Vec::new();
    name("name", &deployment.name, &mut violations);
    name("pool", &deployment.pool, &mut violations);
    check_kind(&deployment.kind, &mut violations);
    check_grants(&deployment.grants, &mut violations);
    check_fleet(&deployment.fleet, &mut violations);
    for (index, pattern) in deployment.non_idempotent.iter().enumerate() {
        check_call_pattern(
            &format!("non_idempotent[{index}]"),
            pattern,
            &mut violations,
        );
    }
    violations
}

/// Checks the bounds of a pool.
fn check_fleet(fleet: &Fleet, violations: &mut Vec<Violation>) {
    if *fleet == Fleet::default() {
        return;
    }
    check_range(
        "fleet.capacity",
        fleet.capacity,
        1,
        MAX_CAPACITY,
        violations,
    );
    check_range("fleet.most", fleet.most, 1, MAX_INSTANCES, violations);
    check_range("fleet.least", fleet.least, 0, fleet.most, violations);
}

/// Returns all violations of an account.
pub fn account(account: &Account) -> Vec<Violation> {
    let mut violations = Vec::new();
    name("name", &account.name, &mut violations);
    if account.key_hashes.is_empty() {
        violations.push(Violation::new("key_hashes", "expected at least one"));
    }
    let mut seen = BTreeSet::new();
    for (index, hash) in account.key_hashes.iter().enumerate() {
        let field = format!("key_hashes[{index}]");
        if !is_hash(hash) {
            let expected = "expected 64 lower-case hexadecimal digits (SHA-256 of the key)";
            violations.push(Violation::new(field, expected));
        } else if !seen.insert(hash) {
            violations.push(Violation::new(field, "it is named twice"));
        }
    }
    check_range("weight", account.weight, 1, MAX_WEIGHT, &mut violations);
    check_range(
        "priority",
        account.priority,
        0,
        MAX_PRIORITY,
        &mut violations,
    );
    violations
}

/// Checks a name.
pub fn name(field: &str, text: &str, violations: &mut Vec<Violation>) {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if !(1..=MAX_NAME_BYTES).contains(&text.len()) || !text.bytes().all(is_allowed) {
        violations.push(Violation::new(field, "expected 1 to 63 of a-z, 0-9 and -"));
    }
}

/// Checks the kind of a deployment.
fn check_kind(kind: &Kind, violations: &mut Vec<Violation>) {
    let Kind::Model { model, version, .. } = kind else {
        return;
    };
    for (field, text) in [("kind.model", model), ("kind.version", version)] {
        if text.is_empty() {
            violations.push(Violation::new(field, "expected a name, found none"));
        }
    }
}

/// Checks all grants of a deployment.
fn check_grants(grants: &[Grant], violations: &mut Vec<Violation>) {
    let mut seen = BTreeSet::new();
    for (index, grant) in grants.iter().enumerate() {
        let prefix = format!("grants[{index}]");
        let account = format!("{prefix}.account");
        name(&account, &grant.account, violations);
        if !seen.insert(&grant.account) {
            let message = format!("'{}' has a grant already", grant.account);
            violations.push(Violation::new(account, message));
        }
        let first_token = format!("{prefix}.first_token_ms");
        check_range(
            &first_token,
            grant.first_token_ms,
            1,
            MAX_TARGET_MS,
            violations,
        );
        let token_gap = format!("{prefix}.token_gap_ms");
        check_range(&token_gap, grant.token_gap_ms, 1, MAX_TARGET_MS, violations);
        let share = format!("{prefix}.share_per_mille");
        check_range(
            &share,
            grant.share_per_mille,
            1,
            MAX_SHARE_PER_MILLE,
            violations,
        );
    }
}

/// Checks one call pattern.
fn check_call_pattern(prefix: &str, pattern: &CallPattern, violations: &mut Vec<Violation>) {
    if !pattern.method.bytes().all(|byte| byte.is_ascii_uppercase()) {
        let message = "expected a method in upper case, or none for any";
        violations.push(Violation::new(format!("{prefix}.method"), message));
    }
    if !pattern.path_prefix.starts_with('/') {
        let message = "expected the beginning of a path, with its slash";
        violations.push(Violation::new(format!("{prefix}.path_prefix"), message));
    }
}

/// Checks that a number lies within its bounds.
fn check_range<N: PartialOrd + fmt::Display>(
    field: &str,
    value: N,
    least: N,
    most: N,
    violations: &mut Vec<Violation>,
) {
    if value < least || value > most {
        let message = format!("expected {least} to {most}, found {value}");
        violations.push(Violation::new(field, message));
    }
}

/// Returns whether a text is a SHA-256 digest in lower-case hexadecimal.
fn is_hash(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(is_digit)
}

//! Whether a deployment or an account is sound in itself.
//!
//! Everything wrong is named at once, so that an operator mends a definition in one go. What depends
//! on the rest of the configuration (an account that isn't there) is checked where a change is made.

use std::collections::BTreeSet;
use std::fmt;

use crate::deployment::Account;
use crate::deployment::CallPattern;
use crate::deployment::Deployment;
use crate::deployment::Fleet;
use crate::deployment::Grant;
use crate::deployment::Kind;

/// Longest name.
const NAME_MAX: usize = 63;
/// Longest latency target, milliseconds: an hour.
const TARGET_MAX_MS: u64 = 3_600_000;
/// Greatest share that can be promised, in thousandths: all would leave no error budget.
const SHARE_MAX_PER_MILLE: u32 = 999;
/// Most requests that one instance can be said to run at once.
const CAPACITY_MAX: u32 = 10_000;
/// Most instances of one pool.
const INSTANCES_MAX: u32 = 100_000;
/// Greatest weight of an account.
const WEIGHT_MAX: u32 = 1_000_000;
/// Greatest priority number of an account.
const PRIORITY_MAX: u8 = 9;
/// Length of a SHA-256 in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// One thing wrong with a definition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The field, such as `grants[1].share_per_mille`.
    pub field: String,
    /// What was expected.
    pub message: String,
}

impl Violation {
    /// Names a field and what was expected of it.
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

/// Everything wrong with a deployment.
pub fn deployment(deployment: &Deployment) -> Vec<Violation> {
    let mut out = Vec::new();
    name("name", &deployment.name, &mut out);
    name("pool", &deployment.pool, &mut out);
    kind(&deployment.kind, &mut out);
    grants(&deployment.grants, &mut out);
    fleet(&deployment.fleet, &mut out);
    for (index, pattern) in deployment.non_idempotent.iter().enumerate() {
        call_pattern(&format!("non_idempotent[{index}]"), pattern, &mut out);
    }
    out
}

/// Checks the bounds of a pool.
fn fleet(fleet: &Fleet, out: &mut Vec<Violation>) {
    if *fleet == Fleet::default() {
        return;
    }
    within("fleet.capacity", fleet.capacity, 1, CAPACITY_MAX, out);
    within("fleet.most", fleet.most, 1, INSTANCES_MAX, out);
    within("fleet.least", fleet.least, 0, fleet.most, out);
}

/// Everything wrong with an account.
pub fn account(account: &Account) -> Vec<Violation> {
    let mut out = Vec::new();
    name("name", &account.name, &mut out);
    if account.key_hashes.is_empty() {
        out.push(Violation::new("key_hashes", "expected at least one"));
    }
    let mut seen = BTreeSet::new();
    for (index, hash) in account.key_hashes.iter().enumerate() {
        let field = format!("key_hashes[{index}]");
        if !is_hash(hash) {
            let expected = "expected 64 lower-case hexadecimal digits (SHA-256 of the key)";
            out.push(Violation::new(field, expected));
        } else if !seen.insert(hash) {
            out.push(Violation::new(field, "it is named twice"));
        }
    }
    within("weight", account.weight, 1, WEIGHT_MAX, &mut out);
    within("priority", account.priority, 0, PRIORITY_MAX, &mut out);
    out
}

/// Checks a name.
pub fn name(field: &str, text: &str, out: &mut Vec<Violation>) {
    let good = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if !(1..=NAME_MAX).contains(&text.len()) || !text.bytes().all(good) {
        out.push(Violation::new(field, "expected 1 to 63 of a-z, 0-9 and -"));
    }
}

/// Checks what is served.
fn kind(kind: &Kind, out: &mut Vec<Violation>) {
    let Kind::Model { model, version, .. } = kind else {
        return;
    };
    for (field, text) in [("kind.model", model), ("kind.version", version)] {
        if text.is_empty() {
            out.push(Violation::new(field, "expected a name, found none"));
        }
    }
}

/// Checks all promises of a deployment.
fn grants(grants: &[Grant], out: &mut Vec<Violation>) {
    let mut seen = BTreeSet::new();
    for (index, grant) in grants.iter().enumerate() {
        let at = format!("grants[{index}]");
        let account = format!("{at}.account");
        name(&account, &grant.account, out);
        if !seen.insert(&grant.account) {
            let message = format!("'{}' has a grant already", grant.account);
            out.push(Violation::new(account, message));
        }
        let first_token = format!("{at}.first_token_ms");
        within(&first_token, grant.first_token_ms, 1, TARGET_MAX_MS, out);
        let token_gap = format!("{at}.token_gap_ms");
        within(&token_gap, grant.token_gap_ms, 1, TARGET_MAX_MS, out);
        let share = format!("{at}.share_per_mille");
        within(&share, grant.share_per_mille, 1, SHARE_MAX_PER_MILLE, out);
    }
}

/// Checks one rule about calls.
fn call_pattern(at: &str, pattern: &CallPattern, out: &mut Vec<Violation>) {
    if !pattern.method.bytes().all(|byte| byte.is_ascii_uppercase()) {
        let message = "expected a method in upper case, or none for any";
        out.push(Violation::new(format!("{at}.method"), message));
    }
    if !pattern.path_prefix.starts_with('/') {
        let message = "expected the beginning of a path, with its slash";
        out.push(Violation::new(format!("{at}.path_prefix"), message));
    }
}

/// Checks a number's bounds.
fn within<N: PartialOrd + fmt::Display>(
    field: &str,
    found: N,
    least: N,
    most: N,
    out: &mut Vec<Violation>,
) {
    if found < least || found > most {
        let message = format!("expected {least} to {most}, found {found}");
        out.push(Violation::new(field, message));
    }
}

/// Whether it is a SHA-256 as lower-case hexadecimal.
fn is_hash(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_DIGITS && text.bytes().all(digit)
}

//! Rules across options, beyond the schema of each one.

use crate::Settings;
use crate::capacity::Capacity;

/// A rule that the settings violate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Option to change.
    pub option: &'static str,
    /// What was expected.
    pub message: String,
}

/// Returns all rules that the settings violate.
pub fn violations(settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_required(settings, &mut violations);
    check_leases(settings, &mut violations);
    check_addresses(settings, &mut violations);
    check_capacity(settings, &mut violations);
    violations
}

/// Checks that options without a sensible default are set.
fn check_required(settings: &Settings, violations: &mut Vec<Violation>) {
    let options = [
        ("identity.name", settings.identity.name.is_empty()),
        ("identity.zone", settings.identity.zone.is_empty()),
        (
            "operators.key",
            settings.operators.key.is_empty() && !settings.gateway.enabled,
        ),
        ("peers.key", settings.peers.key.is_empty()),
        (
            "platform.table_service",
            settings.platform.table_service.is_empty(),
        ),
        (
            "platform.cloud",
            settings.platform.cloud.is_empty() && !settings.gateway.enabled,
        ),
    ];
    for (option, absent) in options {
        if absent {
            violations.push(Violation {
                option,
                message: "it must be set".to_owned(),
            });
        }
    }
}

/// Checks that leases are renewed before they expire: the interval must be shorter than the term
/// minus the margin.
fn check_leases(settings: &Settings, violations: &mut Vec<Violation>) {
    let leases = &settings.leases;
    let limit = leases.term_ms.saturating_sub(leases.margin_ms);
    if leases.renew_interval_ms >= limit {
        violations.push(Violation {
            option: "leases.renew_interval_ms",
            message: format!(
                "expected less than term_ms - margin_ms ({limit}), found {}",
                leases.renew_interval_ms
            ),
        });
    }
}

/// Checks that no two ports share an address and that advertised addresses are reachable.
fn check_addresses(settings: &Settings, violations: &mut Vec<Violation>) {
    let listeners = [
        ("callers.listen", settings.callers.listen),
        ("admin.listen", settings.admin.listen),
        ("operators.listen", settings.operators.listen),
        ("peers.listen", settings.peers.listen),
    ];
    for (index, (option, address)) in listeners.iter().enumerate() {
        let earlier = listeners.iter().take(index);
        let mut duplicates = earlier.filter(|(_, other)| other == address && address.port() != 0);
        if let Some((other, _)) = duplicates.next() {
            violations.push(Violation {
                option,
                message: format!("expected another address than that of {other}"),
            });
        }
    }
    let advertised = [
        ("callers.advertise", settings.callers.advertise),
        ("peers.advertise", settings.peers.advertise),
    ];
    for (option, address) in advertised {
        let unusable =
            |address: std::net::SocketAddr| address.port() == 0 || address.ip().is_unspecified();
        if address.is_some_and(unusable) {
            violations.push(Violation {
                option,
                message: "expected an address that others can connect to".to_owned(),
            });
        }
    }
}

/// Checks that what callers may send and leave unread fits into the memory, and one request into its part.
fn check_capacity(settings: &Settings, violations: &mut Vec<Violation>) {
    let capacity = Capacity::derive(settings);
    if capacity.total() > capacity.limit() {
        let option = match settings.callers.max_held_request_bytes.is_some() {
            true => "callers.max_held_request_bytes",
            false => "callers.max_held_answer_bytes",
        };
        violations.push(Violation {
            option,
            message: format!(
                "requests, answers, headers and connections may take {} bytes together, expected at most {} of the \
                 machine's {} (machine.memory_mb)",
                capacity.total(),
                capacity.limit(),
                capacity.memory_bytes
            ),
        });
    }
    // In gateway mode, the operator's configuration limits bodies.
    let limit = capacity.largest_request();
    if !settings.gateway.enabled && settings.callers.max_body_bytes > limit {
        violations.push(Violation {
            option: "callers.max_body_bytes",
            message: format!(
                "expected at most {limit}, what one request may take of callers.max_held_request_bytes ({}), found {}",
                capacity.request_bytes, settings.callers.max_body_bytes
            ),
        });
    }
}

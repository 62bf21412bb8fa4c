//! Limits on callers, derived from the machine and checked against it.

#![allow(clippy::unwrap_used)]

use settings::Faults;
use settings::Settings;
use settings::capacity::Capacity;
use settings::load::parse;

/// Returns settings with these options of the callers' port, for a machine with this memory.
fn settings(memory_mb: u64, callers: &str) -> Result<Settings, Faults> {
    let text = format!(
        r#"{{
  "identity": {{"name": "entry-1", "zone": "a"}},
  "callers": {{{callers}}},
  "machine": {{"memory_mb": {memory_mb}, "descriptors": 1000}},
  "operators": {{"key": "0123456789abcdef"}},
  "peers": {{"key": "fedcba9876543210"}},
  "platform": {{"table_service": "http://127.0.0.1:7000", "cloud": "http://127.0.0.1:7001"}}
}}"#
    );
    parse("entry.jsonc", &text).map(|loaded| loaded.settings)
}

fn fault(memory_mb: u64, callers: &str) -> String {
    settings(memory_mb, callers).unwrap_err().0[0].to_string()
}

#[test]
fn limits_are_derived_from_the_machine() {
    let capacity = Capacity::derive(&settings(256, "").unwrap());
    assert_eq!(capacity.request_bytes, 64 << 20);
    assert_eq!(capacity.answer_bytes, 32 << 20);
    // An eighth of the memory, by the windows of HTTP/2.
    assert_eq!(capacity.connections, 237);
    assert!(capacity.total() <= capacity.limit());
    let ports = capacity.connections
        + capacity.peer_connections
        + capacity.directory_connections
        + 2 * capacity.probe_connections;
    assert!(ports < capacity.descriptors);
}

/// Guards against limits that callers reach only after the memory has run out.
#[test]
fn limits_beyond_the_memory_are_a_fault() {
    let fault = fault(256, "\"max_held_request_bytes\": 200000000");
    assert!(fault.starts_with("entry.jsonc:3: callers.max_held_request_bytes: requests, answers"));
    assert!(settings(1_024, "\"max_held_request_bytes\": 200000000").is_ok());
}

/// Guards against a body limit that no request may reach, since the process holds less.
#[test]
fn a_body_beyond_the_room_of_one_request_is_a_fault() {
    let fault = fault(64, "");
    assert!(fault.starts_with("entry.jsonc:1: callers.max_body_bytes: expected at most 12582912"));
    assert!(settings(64, "\"max_body_bytes\": 12582912").is_ok());
}

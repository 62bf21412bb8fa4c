//! Verdicts on the service after the faults are over.

use clock::Span;
use clock::Time;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use soak::caller::Class;
use soak::ledger::Attempt;
use soak::ledger::End;
use soak::ledger::Ledger;
use soak::promises;

const FAULTS_ENDED_AT: Time = Time::from_millis(20_000);
const SENT_AT: Time = Time::from_millis(30_000);
const NOW: Time = Time::from_millis(40_000);

/// Returns the breaches where 20 attempts are served and ten refused, whose callers have events of this version, while
/// replicas run v0.
fn breaches(version: &str) -> usize {
    let mut ledger = Ledger::default();
    ledger.last_versions.insert(SmolStr::new_static("v0"));
    for number in 0..30 {
        let id = format_smolstr!("c{number}.1.1");
        let (version, status) = if number < 20 {
            ("v0", 200)
        } else {
            (version, 503)
        };
        ledger.record_attempt(Attempt {
            id: id.clone(),
            class: Class::Stream,
            entry: 0,
            crashes: false,
            reused: false,
            sent_at: SENT_AT,
            returns_after: None,
            version: version.into(),
            ended: None,
        });
        let at = SENT_AT + Span::from_millis(50);
        ledger.record_end(&id, at, End::Answered(status));
    }
    promises::check_final(&mut ledger, FAULTS_ENDED_AT, NOW);
    ledger.breaches.len()
}

/// Guards against asking entries to go on with streams that no replica can go on with.
#[test]
fn streams_of_a_version_that_is_gone_may_be_refused() {
    assert_eq!(breaches("v1"), 0);
}

/// Guards against refusing streams that replicas can go on with, and new ones, once all faults are over.
#[test]
fn other_streams_must_be_served() {
    assert_eq!(breaches("v0"), 1);
    assert_eq!(breaches(""), 1);
}

//! Detection of entries that are cut off from all replicas.

use clock::Span;
use clock::Time;
use policy::configs::isolation::Config;
use policy::isolation::Change;
use policy::isolation::Detector;

/// Replicas on the list.
const KNOWN: usize = 9;

fn after(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn detector() -> Detector {
    Detector::new(Config::default())
}

/// Guards against refusing everything at an entry that is cut off from all replicas.
#[test]
fn several_unreachable_replicas_in_a_row_isolate_the_entry() {
    let mut detector = detector();
    assert_eq!(detector.record_unreachable(after(1), 1, KNOWN), None);
    assert_eq!(detector.record_unreachable(after(2), 2, KNOWN), None);
    let change = detector.record_unreachable(after(3), 3, KNOWN);
    assert_eq!(change, Some(Change::Isolated));
    assert_eq!(detector.record_unreachable(after(4), 4, KNOWN), None);
    assert!(detector.is_isolated());
}

/// Guards against taking the crash of one replica for a partition.
#[test]
fn one_unreachable_replica_does_not_isolate_the_entry() {
    let mut detector = detector();
    for millis in 0..100 {
        assert_eq!(detector.record_unreachable(after(millis), 1, KNOWN), None);
    }
    assert!(!detector.is_isolated());
}

/// Guards against taking crashes of several replicas for a partition while others are reached.
#[test]
fn a_connection_in_between_clears_the_evidence() {
    let mut detector = detector();
    for round in 0..20 {
        let now = after(round * 10);
        assert_eq!(detector.record_unreachable(now, 1, KNOWN), None);
        assert_eq!(detector.record_unreachable(now, 2, KNOWN), None);
        assert_eq!(detector.record_connected(now), None);
    }
    assert!(!detector.is_isolated());
}

/// Guards against an entry that stays isolated after the partition has healed.
#[test]
fn one_connection_ends_the_isolation() {
    let mut detector = detector();
    for replica in 1..=3 {
        detector.record_unreachable(after(replica), replica, KNOWN);
    }
    let change = detector.record_connected(after(900));
    assert_eq!(change, Some(Change::Reconnected { since: after(3) }));
    assert!(!detector.is_isolated());
}

/// Guards against old failures as evidence: replicas that crashed seconds apart.
#[test]
fn failures_that_are_far_apart_do_not_add_up() {
    let mut detector = detector();
    for replica in 1..=9 {
        let now = after(replica * 1_600);
        assert_eq!(detector.record_unreachable(now, replica, KNOWN), None);
    }
}

/// Guards against a service of few replicas whose entries are never found isolated.
#[test]
fn all_replicas_are_enough_if_there_are_few() {
    let mut detector = detector();
    assert_eq!(detector.record_unreachable(after(1), 1, 2), None);
    let change = detector.record_unreachable(after(2), 2, 2);
    assert_eq!(change, Some(Change::Isolated));
}

/// Guards against waiting for requests to find a partition in which kept connections fall silent.
#[test]
fn a_failed_trial_connection_starts_a_round_at_once() {
    let mut detector = detector();
    detector.record_sign(after(1_000));
    assert!(!detector.is_silent(after(1_300)));
    assert!(detector.is_silent(after(1_400)));
    assert_eq!(detector.take_probes(after(1_400)), 1);
    assert_eq!(detector.take_probes(after(1_410)), 0);
    detector.record_unreachable(after(1_900), 1, KNOWN);
    assert_eq!(detector.take_probes(after(1_900)), 3);
    assert_eq!(detector.take_probes(after(1_910)), 0);
}

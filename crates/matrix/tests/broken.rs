//! The checker detects a violation of each guarantee that is injected into the world.

use clock::Span;
use matrix::check::Point;
use matrix::fault::Fault;
use matrix::plan::Plan;
use matrix::world::Bug;
use matrix::world::Shape;

/// Number of seeds, at least one of which must detect an injected bug.
const SEEDS: u64 = 20;

/// Returns a plan whose faults exercise every guarantee.
fn plan(seed: u64) -> Plan {
    let at = Span::from_millis;
    Plan {
        seed,
        shape: Shape::default(),
        requests: 10,
        faults: vec![
            (at(3_000), Fault::BreakCallers(1)),
            (at(4_000), Fault::LoseServiceAnswers(3)),
            (at(5_000), Fault::Reclaim(1, at(12_000))),
            (at(5_000), Fault::Reclaim(5, at(12_000))),
            (at(8_000), Fault::RaceOperators),
            (at(12_000), Fault::LoseServiceAnswers(3)),
            (at(14_000), Fault::StopEntry(0)),
            (at(15_000), Fault::KillEntry(2)),
        ],
    }
}

fn is_caught(bug: Bug, point: Point) -> bool {
    (0..SEEDS).any(|seed| {
        let breaches = plan(seed).run(bug).breaches;
        breaches.iter().any(|breach| breach.point == point)
    })
}

#[test]
fn the_same_faults_breach_nothing_in_a_whole_world() {
    for seed in 0..SEEDS {
        assert_eq!(plan(seed).run(Bug::None).breaches, vec![], "seed {seed}");
    }
}

#[test]
fn a_stream_lost_at_hand_off_is_caught() {
    assert!(is_caught(Bug::LoseHandedOff, Point::Survives));
}

#[test]
fn a_token_given_twice_is_caught() {
    assert!(is_caught(Bug::DoubleChunk, Point::OwnAnswer));
}

#[test]
fn a_false_not_run_is_caught() {
    assert!(is_caught(Bug::ClaimNotRun, Point::NotRunIsTrue));
}

#[test]
fn a_call_repeated_after_a_lost_answer_is_caught() {
    assert!(is_caught(Bug::CallLostNotStarted, Point::AtMostOnce));
}

#[test]
fn a_key_taken_twice_is_caught() {
    assert!(is_caught(Bug::IgnoreChecks, Point::AtMostOnce));
}

#[test]
fn work_for_a_leaving_server_is_caught() {
    assert!(is_caught(Bug::HideNotices, Point::LeavesAlone));
}

#[test]
fn a_stop_that_cuts_is_caught() {
    assert!(is_caught(Bug::StopImmediately, Point::StopsGracefully));
}

#[test]
fn a_change_accepted_too_early_is_caught() {
    assert!(is_caught(Bug::AcceptEarly, Point::NeverReverts));
}

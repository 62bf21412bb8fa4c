//! Since when something may have been pending that reaches the loop.

use clock::Time;
use relay::standstill::Standstill;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn after_turns(turns: &[u64]) -> Standstill {
    let mut standstill = Standstill::default();
    for turn in turns {
        standstill.record_turn(at(*turn));
    }
    standstill
}

#[test]
fn what_reaches_a_busy_loop_came_since_its_last_turn() {
    let turns: Vec<u64> = (0..40).map(|turn| turn * 5).collect();
    assert_eq!(after_turns(&turns).pending_since(at(197)), at(195));
}

#[test]
fn what_reaches_a_loop_after_a_gap_may_have_come_in_it() {
    assert_eq!(
        after_turns(&[990, 995, 1_000]).pending_since(at(3_000)),
        at(1_000)
    );
}

/// Guards against a stop that counts from after a pause, because timers were handled first.
#[test]
fn what_reaches_a_loop_some_turns_after_a_gap_may_have_come_in_it() {
    let standstill = after_turns(&[995, 1_000, 3_000, 3_001, 3_003]);
    assert_eq!(standstill.pending_since(at(3_004)), at(1_000));
    assert_eq!(standstill.pending_since(at(3_060)), at(3_003));
}

#[test]
fn what_is_pending_at_the_first_turn_came_since_the_start() {
    assert_eq!(after_turns(&[300]).pending_since(at(300)), Time::ZERO);
}

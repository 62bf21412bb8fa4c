//! Which body gives way while others wait for room.

use clock::Time;
use intake::receivers::Receivers;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Guards against callers that stop within a body and keep its room from others.
#[test]
fn the_body_that_stalls_longest_gives_way() {
    let mut receivers = Receivers::new(1_000);
    let first = receivers.begin(at(0));
    let second = receivers.begin(at(0));
    receivers.record(first, at(100), 50_000);
    receivers.record(second, at(300), 50_000);
    assert_eq!(receivers.slowest(at(500)), None);
    assert_eq!(receivers.slowest(at(600)), Some(first));
    receivers.end(first);
    assert_eq!(receivers.slowest(at(900)), Some(second));
}

/// Guards against callers that send a byte now and then, and so never stall.
#[test]
fn a_body_below_the_least_pace_gives_way() {
    let mut receivers = Receivers::new(1_000);
    let trickling = receivers.begin(at(0));
    let steady = receivers.begin(at(0));
    for millis in (200..=4_000).step_by(200) {
        receivers.record(trickling, at(millis), 1);
        receivers.record(steady, at(millis), 1_000);
    }
    assert_eq!(receivers.slowest(at(4_100)), Some(trickling));
    receivers.end(trickling);
    assert_eq!(receivers.slowest(at(4_100)), None);
}

/// Guards against closing a body that makes no progress only because this process has no room for it.
#[test]
fn a_body_that_waits_for_room_does_not_give_way() {
    let mut receivers = Receivers::new(1_000);
    let waiting = receivers.begin(at(0));
    receivers.set_waiting(waiting, at(100), true);
    assert_eq!(receivers.slowest(at(5_000)), None);
    receivers.set_waiting(waiting, at(5_000), false);
    assert_eq!(receivers.slowest(at(5_400)), Some(waiting));
}

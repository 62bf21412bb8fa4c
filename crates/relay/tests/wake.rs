//! The loop's timers under a steady stream of messages.

use clock::Time;
use relay::wake::Wake;

/// Heartbeats, leases and deadlines starved while messages arrived more often than every 5 ms.
#[test]
fn timers_run_beside_a_steady_stream_of_messages() {
    let mut wake = Wake::new(Time::ZERO);
    let mut ticks = 0;
    for now in (0..1_000).map(Time::from_millis) {
        if now >= wake.due() {
            wake.record_tick(now);
            ticks += 1;
        }
        // A message arrives each millisecond, and a timer is long overdue.
        wake.schedule(now, Time::ZERO);
    }
    assert!(ticks >= 190, "acted {ticks} times in a second");
}

#[test]
fn timers_run_at_most_every_five_milliseconds() {
    let mut wake = Wake::new(Time::ZERO);
    let mut last = None;
    for now in (0..100).map(Time::from_millis) {
        if now >= wake.due() {
            if let Some(last) = last {
                assert!(now.since(last).as_millis() >= 5);
            }
            last = Some(now);
            wake.record_tick(now);
        }
        wake.schedule(now, now);
    }
}

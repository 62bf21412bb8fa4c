//! Rate limits under load.

use clock::Span;
use clock::Time;
use store::budget::Priority;
use store::call::Address;
use store::call::Call;
use store::call::Transaction;
use store::configs::budget::Settings;
use store::throttle::Throttle;

fn write() -> Call {
    Call::Transact(Transaction::default())
}

fn read() -> Call {
    Call::Get {
        address: Address::new("t", "k"),
    }
}

/// Returns the reads and writes per second of `members` entries together, averaged over a minute in
/// which each makes as many calls as it can.
fn total_rates(members: usize) -> (f64, f64) {
    let mut throttle = Throttle::new(Settings::default());
    throttle.set_members(Time::ZERO, members);
    let (mut reads, mut writes) = (0, 0);
    for step in 0..6_000 {
        let now = Time::from_millis(step * 10);
        throttle.push(Priority::Intent, 'w', write());
        throttle.push(Priority::Config, 'r', read());
        throttle.push(Priority::Config, 'r', read());
        while let Some((kind, _)) = throttle.pop(now) {
            match kind {
                'w' => writes += 1,
                _ => reads += 1,
            }
        }
    }
    let scale = members as f64 / 60.0;
    (f64::from(reads) * scale, f64::from(writes) * scale)
}

#[test]
fn the_total_stays_under_the_limits_however_many_entries() {
    for members in [8, 64, 840] {
        let (reads, writes) = total_rates(members);
        assert!(reads <= 2_000.0, "{members} members: {reads} reads/s");
        assert!(writes <= 300.0, "{members} members: {writes} writes/s");
    }
}

/// Summaries and intent rows exceed the budget. A renewal queued behind them would be late, and the
/// entry would lose its lease under load.
#[test]
fn renewals_do_not_wait_behind_anything() {
    let mut throttle = Throttle::new(Settings::default());
    throttle.set_members(Time::ZERO, 64);
    for step in 0..3_000 {
        let now = Time::from_millis(step * 10);
        throttle.push(Priority::Summary, "summary", write());
        throttle.push(Priority::Intent, "intent", write());
        while throttle.pop(now).is_some() {}
        if step % 200 == 0 {
            throttle.push(Priority::Lease, "renewal", write());
            assert_eq!(
                throttle.pop(now).map(|(requester, _)| requester),
                Some("renewal")
            );
        }
    }
}

/// A call that exceeds the queue is returned, so that its caller gets an immediate refusal.
#[test]
fn a_full_queue_returns_the_call() {
    let settings = Settings {
        queue: 2,
        ..Settings::default()
    };
    let mut throttle = Throttle::new(settings);
    assert_eq!(throttle.push(Priority::Intent, 1, write()), None);
    assert_eq!(throttle.push(Priority::Intent, 2, write()), None);
    assert_eq!(
        throttle.push(Priority::Intent, 3, write()),
        Some((3, write()))
    );
    assert!(throttle.next_wake(Time::ZERO) > Some(Time::ZERO));
    assert!(throttle.next_wake(Time::ZERO) < Some(Time::ZERO + Span::from_seconds(1)));
}

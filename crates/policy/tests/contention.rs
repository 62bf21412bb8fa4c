//! Which jobs give way where slots are scarce.

use clock::Span;
use clock::Time;
use policy::account;
use policy::configs::contention::Config;
use policy::contention;
use policy::contention::Meter;

const COST: u64 = 1_000;
const SMALL: account::Key = account::Key(1);
const OTHER: account::Key = account::Key(2);

/// Records `rate` jobs a second of an account for ten seconds; returns the end.
fn offer(meter: &mut Meter, level: u8, key: account::Key, weight: u32, rate: u64) -> Time {
    for job in 0..10 * rate {
        let now = Time::from_millis(job * 1_000 / rate);
        meter.record(&Config::default(), now, level, key, weight, COST);
    }
    Time::from_millis(10_000)
}

fn yields(meter: &Meter, now: Time, level: u8, key: account::Key) -> bool {
    meter.yields(&Config::default(), now, level, key)
}

/// Guards against lower ranks in the slots that the highest one needs.
#[test]
fn lower_levels_yield_to_higher_ones() {
    let mut meter = Meter::default();
    offer(&mut meter, 0, SMALL, 1, 1);
    let now = offer(&mut meter, 90, OTHER, 1, 1);
    assert!(!yields(&meter, now, 0, SMALL));
    assert!(yields(&meter, now, 90, OTHER));
}

/// Guards against an account at 40 times its rate that takes the slots of the others.
#[test]
fn an_account_far_above_the_others_yields() {
    let mut meter = Meter::default();
    offer(&mut meter, 0, SMALL, 1, 1);
    let now = offer(&mut meter, 0, OTHER, 1, 40);
    assert!(!yields(&meter, now, 0, SMALL));
    assert!(yields(&meter, now, 0, OTHER));
}

/// Guards against slots that stay free beside accounts which offer more only because of their weight.
#[test]
fn accounts_within_their_weight_are_alike() {
    let mut meter = Meter::default();
    offer(&mut meter, 0, SMALL, 1, 2);
    let now = offer(&mut meter, 0, OTHER, 4, 8);
    assert!(!yields(&meter, now, 0, SMALL));
    assert!(!yields(&meter, now, 0, OTHER));
}

/// Guards against jobs that give way to work which is no longer offered.
#[test]
fn work_of_the_past_is_forgotten() {
    let mut meter = Meter::default();
    let past = offer(&mut meter, 0, SMALL, 1, 1);
    let now = past + Config::default().averaging_time + Span::from_seconds(1);
    meter.record(&Config::default(), now, 90, OTHER, 1, COST);
    assert!(!yields(&meter, now, 90, OTHER));
}

/// Guards against an entry with few slots that never starts a job which gives way.
#[test]
fn the_reserve_leaves_a_slot() {
    let reserve = |owned| contention::reserve(&Config::default(), owned);
    assert_eq!([0, 1, 2, 3].map(reserve), [0, 0, 1, 1]);
    assert_eq!(reserve(16), 4);
}

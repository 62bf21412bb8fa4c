//! Rates of offered work: the meter of one entry, and the reports of several.

use clock::Span;
use clock::Time;
use policy::demand::Class;
use policy::demand::Meter;
use policy::demand::Offered;
use policy::demand::Rates;
use policy::demand::Reports;
use smol_str::SmolStr;

const SERVICE: &str = "drafts";
const URGENT: Class = Class {
    level: 0,
    account: 7,
};
const OTHER: Class = Class {
    level: 12,
    account: 9,
};
/// Age from which a report no longer counts.
const MAX_AGE: Span = Span::from_millis(2_500);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rates(rows: &[(Class, u32)]) -> Rates {
    let mut rates = Rates::default();
    for (class, rate) in rows {
        rates.add(*class, *rate);
    }
    rates
}

fn offered(rows: &[(Class, u32)]) -> Offered {
    Offered::from([(SmolStr::new_static(SERVICE), rates(rows))])
}

/// Returns the rate of a class, 0 if it has none.
fn rate_of(rates: &Rates, class: Class) -> u32 {
    let mut rows = rates.iter();
    rows.find(|(one, _)| *one == class)
        .map_or(0, |(_, rate)| rate)
}

/// Records `work` every `interval` milliseconds from `from` to `to`.
fn record_steadily(meter: &mut Meter, class: Class, from: u64, to: u64, interval: u64, work: u64) {
    for now in (from..to).step_by(interval as usize) {
        meter.record(at(now), class, work);
    }
}

#[test]
fn a_steady_rate_is_metered_by_work() {
    // Guards against rates in requests instead of work, and against a bias of the average.
    let mut meter = Meter::default();
    record_steadily(&mut meter, URGENT, 0, 4_000, 20, 100);
    record_steadily(&mut meter, OTHER, 0, 4_000, 100, 2_000);
    let rates = meter.rates(at(4_000));

    assert!((4_800..=5_200).contains(&rate_of(&rates, URGENT)));
    let other = rate_of(&rates, OTHER);
    assert!((17_000..=23_000).contains(&other), "{other}");
}

#[test]
fn a_step_is_known_within_a_second() {
    // Guards against an average so slow that the plan follows an overload only when queues are full.
    let mut meter = Meter::default();
    record_steadily(&mut meter, URGENT, 0, 4_000, 20, 100);
    record_steadily(&mut meter, URGENT, 4_000, 5_000, 20, 600);
    let risen = rate_of(&meter.rates(at(5_000)), URGENT);
    assert!((24_000..=31_000).contains(&risen), "{risen}");

    record_steadily(&mut meter, URGENT, 5_000, 6_000, 20, 100);
    let fallen = rate_of(&meter.rates(at(6_000)), URGENT);
    assert!((5_000..=10_000).contains(&fallen), "{fallen}");
}

#[test]
fn a_rate_decays_to_zero_and_is_dropped() {
    // Guards against rows of former callers that are sent and planned for ever.
    let mut meter = Meter::default();
    record_steadily(&mut meter, URGENT, 0, 4_000, 20, 100);
    let mut last = rate_of(&meter.rates(at(4_000)), URGENT);
    for now in (4_500..8_000).step_by(500) {
        let rate = rate_of(&meter.rates(at(now)), URGENT);
        assert!(rate < last, "{rate} after {last}");
        last = rate;
    }
    assert!(meter.rates(at(10_000)).is_empty());
    assert!(meter.is_empty());
}

#[test]
fn a_restarted_meter_reaches_the_rate_without_counting_the_past() {
    // Guards against a restarted entry whose first report is taken for a burst.
    let mut meter = Meter::default();
    record_steadily(&mut meter, URGENT, 60_000, 60_100, 20, 100);
    assert!(rate_of(&meter.rates(at(60_100)), URGENT) <= 5_000);
    record_steadily(&mut meter, URGENT, 60_100, 62_000, 20, 100);
    let rate = rate_of(&meter.rates(at(62_000)), URGENT);
    assert!((4_700..=5_200).contains(&rate), "{rate}");
}

#[test]
fn a_repeated_report_counts_once() {
    // Guards against a doubled message that doubles the demand.
    let mut reports = Reports::default();
    for now in [100, 101, 102] {
        reports.record(at(now), 1, offered(&[(URGENT, 500)]));
    }
    reports.record(at(103), 2, offered(&[(URGENT, 200), (OTHER, 30)]));
    let sum = reports.sum(SERVICE);
    assert_eq!(sum, rates(&[(URGENT, 700), (OTHER, 30)]));
    assert!(reports.sum("sketches").is_empty());
}

#[test]
fn a_lost_report_has_no_lasting_effect() {
    // Guards against sums of changes, in which a lost message leaves an error behind.
    let mut complete = Reports::default();
    let mut lossy = Reports::default();
    for round in 0..20 {
        let report = offered(&[(URGENT, 100 + round)]);
        complete.record(at(250 * u64::from(round)), 1, report.clone());
        if round % 3 == 1 {
            lossy.record(at(250 * u64::from(round)), 1, report);
        }
    }
    assert_eq!(lossy.sum(SERVICE), complete.sum(SERVICE));
}

#[test]
fn a_late_report_is_replaced_by_the_next() {
    // Guards against a report that was delayed and adds to a newer one.
    let mut reports = Reports::default();
    reports.record(at(100), 1, offered(&[(URGENT, 900)]));
    reports.record(at(1_500), 1, offered(&[(OTHER, 80)]));
    reports.record(at(1_600), 1, offered(&[(OTHER, 100)]));
    assert_eq!(reports.sum(SERVICE), rates(&[(OTHER, 100)]));
    assert_eq!(reports.newest(), Some(at(1_600)));
}

#[test]
fn a_sender_that_ended_is_dropped_after_the_failure_time() {
    // Guards against the demand of an ended entry, whose callers now ask others, counting twice for ever. A
    // restarted entry has another identity, so that its former one expires in the same way.
    let mut reports = Reports::default();
    reports.record(at(0), 1, offered(&[(URGENT, 900)]));
    for now in (0..4_000).step_by(250) {
        reports.record(at(now), 2, offered(&[(URGENT, 100)]));
        reports.expire(at(now), MAX_AGE);
        let expected = if now <= 2_500 { 1_000 } else { 100 };
        assert_eq!(rate_of(&reports.sum(SERVICE), URGENT), expected, "{now} ms");
    }
    reports.expire(at(10_000), MAX_AGE);
    assert_eq!(reports.newest(), None);
}

#[test]
fn a_sum_without_an_entry_holds_the_others() {
    // Guards against an entry that counts its own work twice, from its meter and from a hub's sum.
    let all = [
        rates(&[(URGENT, 500)]),
        rates(&[(URGENT, 300), (OTHER, 40)]),
        rates(&[(OTHER, 60)]),
    ];
    let mut total = Rates::default();
    for one in &all {
        total.merge(one);
    }
    assert_eq!(total, rates(&[(URGENT, 800), (OTHER, 100)]));
    assert_eq!(total.without(&all[1]), rates(&[(URGENT, 500), (OTHER, 60)]));
    assert_eq!(total.without(&Rates::default()), total);

    // An entry whose newer report isn't part of the sum yet.
    let newer = rates(&[(URGENT, 5_000)]);
    assert_eq!(total.without(&newer), rates(&[(OTHER, 100)]));
}

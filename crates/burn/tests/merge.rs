//! Merging is addition: no order, no grouping and no split over entries changes a report.

use burn::Cause;
use burn::Ledger;
use burn::Outcome;
use burn::Report;
use burn::Sample;
use burn::Summary;
use burn::report::Target;
use clock::Span;
use clock::Time;
use proptest::prelude::*;

/// A whole hour since 1970.
const ZERO: u64 = 500_000 * 3_600_000;
/// When the report is drawn, after the start.
const END: u64 = 3 * 3_600_000;
const ENTRIES: usize = 3;

/// A sample, the time it ended and the entry that saw it.
fn sample() -> impl Strategy<Value = (usize, u64, Sample)> {
    let causes = prop_oneof![
        Just(Cause::Waiting),
        Just(Cause::SlowBackend),
        Just(Cause::Reclaim),
        Just(Cause::Refused),
        Just(Cause::Store),
    ];
    let outcomes = prop_oneof![
        Just(Outcome::Answered),
        Just(Outcome::Failed),
        Just(Outcome::EndedByCaller)
    ];
    let rest = (0..2_000_u64, 0..200_u64, 0..50_u64, 0..900_u64, 0..2_u8);
    (0..ENTRIES, 0..END, causes, outcomes, rest).prop_map(|(entry, at, cause, outcome, rest)| {
        let (first_token, gap, recomputed, cost_micros, account) = rest;
        let sample = Sample {
            deployment: "thesis".into(),
            account: format!("account-{account}").into(),
            first_token: Some(Span::from_millis(first_token)),
            worst_gap: Span::from_millis(gap),
            outcome,
            cause,
            recomputed,
            cost_micros,
        };
        (entry, at, sample)
    })
}

/// A ledger with promises.
fn ledger(number: usize) -> Ledger {
    let entry = format!("entry-{number}");
    let mut ledger = Ledger::new(entry.clone().into(), format!("{entry}.1").into(), ZERO);
    let target = Target {
        first_token_ms: 1_000,
        token_gap_ms: 100,
        share_per_mille: 950,
    };
    let promise = |account: &str| (("thesis".into(), account.into()), target);
    ledger.set_targets(Time::ZERO, [promise("account-0"), promise("account-1")]);
    ledger
}

/// The last summaries of the ledgers.
fn summaries(ledgers: &mut [Ledger]) -> Vec<Summary> {
    let end = Time::from_millis(END);
    ledgers
        .iter_mut()
        .map(|ledger| ledger.summary(end, true))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_report_does_not_depend_on_the_split_over_entries_or_their_order(
        samples in proptest::collection::vec(sample(), 0..200),
    ) {
        let mut one = [ledger(0)];
        let mut several: Vec<Ledger> = (0..ENTRIES).map(ledger).collect();
        for (entry, at, sample) in &samples {
            one[0].record(Time::from_millis(*at), sample);
            several[*entry].record(Time::from_millis(*at), sample);
        }
        let whole = Report::from_summaries(ZERO + END, summaries(&mut one));
        let mut parts = summaries(&mut several);
        prop_assert_eq!(&whole, &Report::from_summaries(ZERO + END, parts.clone()));
        parts.reverse();
        prop_assert_eq!(&whole, &Report::from_summaries(ZERO + END, parts));
    }

    #[test]
    fn a_summary_is_the_same_after_a_way_through_the_store(
        samples in proptest::collection::vec(sample(), 0..100),
    ) {
        let mut ledger = ledger(0);
        for (_, at, sample) in &samples {
            ledger.record(Time::from_millis(*at), sample);
        }
        let summary = ledger.summary(Time::from_millis(END), true);
        let text = serde_json::to_string(&summary).unwrap();
        let again: Summary = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(summary, again);
    }

    #[test]
    fn misses_are_the_requests_that_were_not_within(
        samples in proptest::collection::vec(sample(), 0..100),
    ) {
        let mut ledger = ledger(0);
        for (_, at, sample) in &samples {
            ledger.record(Time::from_millis(*at), sample);
        }
        let report = Report::from_summaries(ZERO + END, vec![ledger.summary(Time::from_millis(END), true)]);
        for row in &report.rows {
            let misses = &row.misses;
            let named = misses.waiting + misses.slow_backend + misses.reclaim;
            let named = named + misses.refused + misses.store + misses.other;
            prop_assert_eq!(named, row.requests - row.within);
            let points: u64 = row.points.iter().map(|point| point.requests).sum();
            prop_assert_eq!(points, row.requests);
        }
    }
}

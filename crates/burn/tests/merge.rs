//! Merging is commutative and associative: reports don't depend on how requests are split over entries.

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
const START_MS: u64 = 500_000 * 3_600_000;
/// When the report is built, milliseconds after the start.
const END_MS: u64 = 3 * 3_600_000;
const ENTRIES: usize = 3;

/// Generates a sample, the time it ended and the entry that recorded it.
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
    (0..ENTRIES, 0..END_MS, causes, outcomes, rest).prop_map(
        |(entry, at_ms, cause, outcome, rest)| {
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
            (entry, at_ms, sample)
        },
    )
}

/// Creates a ledger with targets.
fn ledger(number: usize) -> Ledger {
    let entry = format!("entry-{number}");
    let mut ledger = Ledger::new(entry.clone().into(), format!("{entry}.1").into(), START_MS);
    let target = Target {
        first_token_ms: 1_000,
        token_gap_ms: 100,
        share_per_mille: 950,
    };
    let target_of = |account: &str| (("thesis".into(), account.into()), target);
    ledger.set_targets(Time::ZERO, [target_of("account-0"), target_of("account-1")]);
    ledger
}

/// Returns the last summaries of the ledgers.
fn summaries(ledgers: &mut [Ledger]) -> Vec<Summary> {
    let end = Time::from_millis(END_MS);
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
        let mut single = [ledger(0)];
        let mut several: Vec<Ledger> = (0..ENTRIES).map(ledger).collect();
        for (entry, at_ms, sample) in &samples {
            single[0].record(Time::from_millis(*at_ms), sample);
            several[*entry].record(Time::from_millis(*at_ms), sample);
        }
        let whole = Report::from_summaries(START_MS + END_MS, summaries(&mut single));
        let mut parts = summaries(&mut several);
        prop_assert_eq!(&whole, &Report::from_summaries(START_MS + END_MS, parts.clone()));
        parts.reverse();
        prop_assert_eq!(&whole, &Report::from_summaries(START_MS + END_MS, parts));
    }

    #[test]
    fn a_summary_survives_serialization(
        samples in proptest::collection::vec(sample(), 0..100),
    ) {
        let mut ledger = ledger(0);
        for (_, at_ms, sample) in &samples {
            ledger.record(Time::from_millis(*at_ms), sample);
        }
        let summary = ledger.summary(Time::from_millis(END_MS), true);
        let text = serde_json::to_string(&summary).unwrap();
        let read: Summary = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(summary, read);
    }

    #[test]
    fn misses_are_the_requests_that_were_not_within(
        samples in proptest::collection::vec(sample(), 0..100),
    ) {
        let mut ledger = ledger(0);
        for (_, at_ms, sample) in &samples {
            ledger.record(Time::from_millis(*at_ms), sample);
        }
        let report = Report::from_summaries(
            START_MS + END_MS,
            vec![ledger.summary(Time::from_millis(END_MS), true)],
        );
        for row in &report.rows {
            let misses = &row.misses;
            let by_cause = misses.waiting + misses.slow_backend + misses.reclaim;
            let by_cause = by_cause + misses.refused + misses.store + misses.other;
            prop_assert_eq!(by_cause, row.requests - row.within);
            let points: u64 = row.points.iter().map(|point| point.requests).sum();
            prop_assert_eq!(points, row.requests);
        }
    }
}

//! Tests of error budgets, burn rates and reports across the replacement of entries.

use burn::Cause;
use burn::Ledger;
use burn::Outcome;
use burn::Report;
use burn::Sample;
use burn::Summary;
use burn::ledger::MAX_SERIES;
use burn::ledger::OVERFLOW_ACCOUNT;
use burn::report::Target;
use burn::report::Urgency;
use clock::Span;
use clock::Time;

/// A whole hour since 1970, so that slices begin with the test.
const START_MS: u64 = 500_000 * 3_600_000;
const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const TARGET: Target = Target {
    first_token_ms: 480,
    token_gap_ms: 61,
    share_per_mille: 900,
};

/// Creates a ledger with one target.
fn ledger(entry: &str, incarnation: &str, start_ms: u64) -> Ledger {
    let mut ledger = Ledger::new(entry.into(), incarnation.into(), start_ms);
    let pair = ("thesis".into(), "branches".into());
    ledger.set_targets(Time::ZERO, [(pair, TARGET)]);
    ledger
}

/// Returns a request that met its targets.
fn good() -> Sample {
    Sample {
        deployment: "thesis".into(),
        account: "branches".into(),
        first_token: Some(Span::from_millis(200)),
        worst_gap: Span::from_millis(40),
        outcome: Outcome::Answered,
        cause: Cause::Other,
        recomputed: 0,
        cost_micros: 100,
    }
}

/// Returns a request that waited too long.
fn late() -> Sample {
    Sample {
        first_token: Some(Span::from_millis(481)),
        cause: Cause::Waiting,
        recomputed: 30,
        ..good()
    }
}

/// Records a sample several times.
fn record(ledger: &mut Ledger, at_ms: u64, sample: &Sample, times: u64) {
    for _ in 0..times {
        ledger.record(Time::from_millis(at_ms), sample);
    }
}

/// Returns the summary at a time of the process.
fn summary(ledger: &mut Ledger, at_ms: u64) -> Summary {
    ledger.summary(Time::from_millis(at_ms), false)
}

#[test]
fn share_budget_and_cost_add_up() {
    let mut ledger = ledger("entry-1", "entry-1.1", START_MS);
    record(&mut ledger, MINUTE_MS, &good(), 95);
    record(&mut ledger, MINUTE_MS, &late(), 5);
    let report = Report::from_summaries(
        START_MS + 2 * MINUTE_MS,
        vec![summary(&mut ledger, 2 * MINUTE_MS)],
    );
    let row = &report.rows[0];
    assert_eq!((row.requests, row.within, row.misses.waiting), (100, 95, 5));
    // 100 in 1000 may miss and 50 in 1000 did: half of the budget is spent, at half of its rate.
    assert_eq!(
        (row.budget_left, row.burn_short, row.burn_long),
        (0.5, 0.5, 0.5)
    );
    assert_eq!((row.cost_micros, row.recomputed_tokens), (10_000, 150));
    assert!((row.cost_per_within_micros - 10_000.0 / 95.0).abs() < 1e-9);
    assert!((200..=202).contains(&row.first_token_ms.p50));
    assert_eq!(row.urgency(), Urgency::Calm);
    assert!(report.gaps.is_empty());
}

#[test]
fn each_target_can_be_missed_and_requests_ended_by_the_caller_are_no_misses() {
    let mut ledger = ledger("entry-1", "entry-1.1", START_MS);
    let slow = Sample {
        worst_gap: Span::from_millis(62),
        cause: Cause::SlowBackend,
        ..good()
    };
    let refused = Sample {
        first_token: None,
        outcome: Outcome::Failed,
        cause: Cause::Refused,
        ..good()
    };
    let cancelled = Sample {
        outcome: Outcome::EndedByCaller,
        ..good()
    };
    for sample in [good(), slow, refused, cancelled] {
        record(&mut ledger, 0, &sample, 1);
    }
    let report = Report::from_summaries(START_MS, vec![summary(&mut ledger, 0)]);
    let row = &report.rows[0];
    assert_eq!((row.requests, row.within), (3, 1));
    assert_eq!((row.misses.slow_backend, row.misses.refused), (1, 1));
    assert_eq!(row.cost_micros, 400);
}

/// A backend server hangs for some minutes, then recovers. Operators must be paged during the outage, but
/// not for the rest of the hour that the long window covers.
#[test]
fn both_windows_must_burn_for_a_page() {
    let mut ledger = ledger("entry-1", "entry-1.1", START_MS);
    record(&mut ledger, 0, &good(), 20);
    record(&mut ledger, 20 * MINUTE_MS, &late(), 80);
    let during = Report::from_summaries(
        START_MS + 21 * MINUTE_MS,
        vec![summary(&mut ledger, 21 * MINUTE_MS)],
    );
    assert_eq!(during.rows[0].burn_long, 8.0);
    assert_eq!(during.rows[0].burn_short, 10.0);
    assert_eq!(during.rows[0].urgency(), Urgency::Page);
    record(&mut ledger, 40 * MINUTE_MS, &good(), 10);
    let after = Report::from_summaries(
        START_MS + 41 * MINUTE_MS,
        vec![summary(&mut ledger, 41 * MINUTE_MS)],
    );
    assert!(after.rows[0].burn_long > 6.0);
    assert_eq!(after.rows[0].burn_short, 0.0);
    assert_eq!(after.rows[0].urgency(), Urgency::Calm);
}

#[test]
fn requests_older_than_the_period_are_dropped() {
    let mut ledger = ledger("entry-1", "entry-1.1", START_MS);
    record(&mut ledger, 0, &late(), 10);
    record(&mut ledger, 23 * HOUR_MS, &good(), 1);
    let report = Report::from_summaries(
        START_MS + 24 * HOUR_MS,
        vec![summary(&mut ledger, 24 * HOUR_MS)],
    );
    assert_eq!((report.rows[0].requests, report.rows[0].within), (1, 1));
    let expired = summary(&mut ledger, 24 * HOUR_MS);
    assert!(!expired.is_expired(START_MS + 48 * HOUR_MS));
    assert!(expired.is_expired(START_MS + 50 * HOUR_MS));
    assert!(
        Report::from_summaries(START_MS + 50 * HOUR_MS, vec![expired])
            .rows
            .is_empty()
    );
    let empty = summary(&mut ledger, 48 * HOUR_MS);
    assert!(empty.series.is_empty());
}

/// Every entry is replaced. The report must keep what the old ones recorded, and list the time between an
/// entry's last summary and its successor's start as a gap.
#[test]
fn the_report_survives_the_replacement_of_every_entry_and_lists_gaps() {
    let mut summaries = Vec::new();
    for name in ["entry-1", "entry-2"] {
        let mut old = ledger(name, &format!("{name}.1"), START_MS);
        record(&mut old, MINUTE_MS, &good(), 10);
        summaries.push(old.summary(Time::from_millis(2 * MINUTE_MS), name == "entry-1"));
    }
    for name in ["entry-1", "entry-2"] {
        let mut new = ledger(name, &format!("{name}.2"), START_MS + 10 * MINUTE_MS);
        record(&mut new, 0, &good(), 5);
        summaries.push(summary(&mut new, 5 * MINUTE_MS));
    }
    let report = Report::from_summaries(START_MS + 15 * MINUTE_MS, summaries);
    assert_eq!(report.rows[0].requests, 30);
    assert_eq!(report.gaps.len(), 1);
    let gap = &report.gaps[0];
    assert_eq!(gap.entry, "entry-2");
    assert_eq!(
        (gap.from_ago_ms, gap.to_ago_ms),
        (13 * MINUTE_MS, 5 * MINUTE_MS)
    );
    assert!(
        report
            .to_text()
            .contains("entry-2: from 13 min to 5 min ago")
    );
}

/// A write whose response was lost is retried, and the scan also returns an older copy. Nothing may count
/// twice.
#[test]
fn only_the_newest_summary_of_an_incarnation_counts() {
    let mut ledger = ledger("entry-1", "entry-1.1", START_MS);
    record(&mut ledger, 0, &good(), 3);
    let early = summary(&mut ledger, MINUTE_MS);
    record(&mut ledger, MINUTE_MS, &good(), 4);
    let late = summary(&mut ledger, 2 * MINUTE_MS);
    let all = vec![late.clone(), early, late];
    assert_eq!(
        Report::from_summaries(START_MS + 2 * MINUTE_MS, all).rows[0].requests,
        7
    );
}

/// With thousands of accounts, memory and the size of summaries must stay bounded.
#[test]
fn accounts_beyond_the_bound_count_together() {
    let mut ledger = Ledger::new("entry-1".into(), "entry-1.1".into(), START_MS);
    for number in 0..MAX_SERIES + 500 {
        let sample = Sample {
            account: format!("account-{number}").into(),
            ..good()
        };
        record(&mut ledger, 0, &sample, 1);
    }
    let summary = summary(&mut ledger, 0);
    assert_eq!(summary.series.len(), MAX_SERIES + 1);
    let report = Report::from_summaries(START_MS, vec![summary]);
    let rest = report
        .rows
        .iter()
        .find(|row| row.account == OVERFLOW_ACCOUNT)
        .unwrap();
    assert_eq!(rest.requests, 500);
}

#[test]
fn html_escapes_names_and_needs_no_external_resources() {
    let mut ledger = Ledger::new("entry-1".into(), "entry-1.1".into(), START_MS);
    let sample = Sample {
        account: "<script>".into(),
        ..late()
    };
    record(&mut ledger, 0, &sample, 1);
    let html = Report::from_summaries(START_MS, vec![summary(&mut ledger, 0)]).to_html();
    assert!(html.contains("thesis / &lt;script&gt;"));
    assert!(!html.contains("<script") && !html.contains("http"));
    assert_eq!(html.matches("<svg").count(), html.matches("</svg>").count());
}

//! Tests of writing and reading summaries, with failures of the store.

use burn::Cause;
use burn::Collector;
use burn::Ledger;
use burn::Outcome;
use burn::Report;
use burn::Sample;
use burn::collector::Effect;
use burn::collector::Event;
use clock::Span;
use clock::Time;
use store::call::Call;
use store::fake::Fault;
use store::fake::Table;

/// A whole hour since 1970.
const START_MS: u64 = 500_000 * 3_600_000;
const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Creates an entry that starts at a time of the test.
fn entry(name: &str, start: u64) -> (u64, Collector) {
    let incarnation = format!("{name}.{start}");
    let ledger = Ledger::new(name.into(), incarnation.into(), START_MS + start);
    (start, Collector::new(Time::ZERO, ledger))
}

/// Records one request for each of several accounts.
fn record(entry: &mut (u64, Collector), at_ms: u64, accounts: usize) {
    for number in 0..accounts {
        let sample = Sample {
            deployment: "thesis".into(),
            account: format!("account-{number:04}").into(),
            first_token: Some(Span::from_millis(200)),
            worst_gap: Span::ZERO,
            outcome: Outcome::Answered,
            cause: Cause::Other,
            recomputed: 0,
            cost_micros: 1,
        };
        let now = Time::from_millis(at_ms - entry.0);
        entry.1.ledger.record(now, &sample);
    }
}

/// Feeds an event, performs store calls until there are none left, and returns the reports.
fn step(entry: &mut (u64, Collector), at_ms: u64, event: Event, table: &mut Table) -> Vec<Report> {
    let now = Time::from_millis(at_ms - entry.0);
    let (mut effects, mut reports) = (Vec::new(), Vec::new());
    entry.1.step(now, event, &mut effects);
    while let Some(effect) = effects.pop() {
        match effect {
            Effect::Store { id, call } => {
                let outcome = table.apply(&call);
                entry
                    .1
                    .step(now, Event::Store { id, outcome }, &mut effects);
            }
            Effect::Report { report, .. } => reports.push(report),
        }
    }
    reports
}

/// Requests a report from an entry.
fn request_report(entry: &mut (u64, Collector), at_ms: u64, table: &mut Table) -> Report {
    let event = Event::ReportRequested {
        requester: 1,
        deployment: None,
    };
    step(entry, at_ms, event, table).pop().expect("a report")
}

/// Returns the number of requests in a report.
fn requests(report: &Report) -> u64 {
    report.rows.iter().map(|row| row.requests).sum()
}

/// All entries are replaced, one of them killed before its last write. A report from a new entry must include
/// all of the day's requests but those that the killed one had not yet written.
#[test]
fn a_report_survives_the_replacement_of_every_entry() {
    let mut table = Table::new();
    let (mut stopped, mut killed) = (entry("entry-1", 0), entry("entry-2", 0));
    for old in [&mut stopped, &mut killed] {
        record(old, 0, 2);
        step(old, MINUTE_MS, Event::Wake, &mut table);
        record(old, MINUTE_MS, 2);
    }
    step(&mut stopped, 2 * MINUTE_MS, Event::Stopped, &mut table);
    assert!(stopped.1.is_done());
    let mut new = entry("entry-3", 10 * MINUTE_MS);
    record(&mut new, 10 * MINUTE_MS, 1);
    let report = request_report(&mut new, 11 * MINUTE_MS, &mut table);
    assert_eq!(requests(&report), 4 + 2 + 1);
    let missing: Vec<&str> = report.gaps.iter().map(|gap| gap.entry.as_str()).collect();
    assert_eq!(missing, ["entry-2"]);
}

/// The store commits a write but its response is lost. The next write must not count twice.
#[test]
fn a_lost_answer_counts_nothing_twice() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    record(&mut one, 0, 3);
    table.push_fault(Fault::LostAnswer);
    step(&mut one, MINUTE_MS, Event::Wake, &mut table);
    step(&mut one, 2 * MINUTE_MS, Event::Wake, &mut table);
    let mut other = entry("entry-2", MINUTE_MS);
    assert_eq!(
        requests(&request_report(&mut other, 2 * MINUTE_MS, &mut table)),
        3
    );
}

/// An operator requests a report while the store is down. It must arrive immediately with the entry's own
/// counts, and list the rest as a gap.
#[test]
fn with_the_store_down_a_report_has_the_entry_s_own_counts_and_a_gap() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    record(&mut one, 0, 3);
    table.set_down(true);
    let report = request_report(&mut one, MINUTE_MS, &mut table);
    assert_eq!(requests(&report), 3);
    assert_eq!(report.gaps[0].entry, "(store)");
    assert!(report.to_text().contains("(store): could not be read"));
}

#[test]
fn a_large_summary_takes_several_rows_that_are_removed_when_it_shrinks() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    record(&mut one, 0, 250);
    step(&mut one, MINUTE_MS, Event::Wake, &mut table);
    assert!(table.row("burn", "entry-1.0/2").is_some());
    let mut other = entry("entry-2", 0);
    assert_eq!(
        requests(&request_report(&mut other, MINUTE_MS, &mut table)),
        250
    );
    record(&mut one, 26 * HOUR_MS, 1);
    step(&mut one, 26 * HOUR_MS, Event::Wake, &mut table);
    assert!(table.row("burn", "entry-1.0/0").is_some());
    assert!(table.row("burn", "entry-1.0/1").is_none());
    assert_eq!(
        requests(&request_report(&mut other, 26 * HOUR_MS, &mut table)),
        1
    );
}

#[test]
fn a_large_summary_is_written_less_often() {
    let mut table = Table::new();
    let (mut small, mut large) = (entry("entry-1", 0), entry("entry-2", 0));
    record(&mut small, 0, 5);
    record(&mut large, 0, 900);
    for one in [&mut small, &mut large] {
        step(one, MINUTE_MS, Event::Wake, &mut table);
    }
    let delay =
        |one: &Collector| one.next_wake().map(Time::as_millis).unwrap_or_default() - MINUTE_MS;
    assert_eq!(delay(&small.1), MINUTE_MS);
    assert!(delay(&large.1) > 3 * MINUTE_MS);
    let report = request_report(&mut small, 4 * MINUTE_MS, &mut table);
    assert!(report.gaps.is_empty(), "{:?}", report.gaps);
}

#[test]
fn rows_older_than_the_period_are_removed_when_read() {
    let mut table = Table::new();
    let mut old = entry("entry-1", 0);
    record(&mut old, 0, 1);
    step(&mut old, MINUTE_MS, Event::Wake, &mut table);
    let mut new = entry("entry-2", 27 * HOUR_MS);
    request_report(&mut new, 27 * HOUR_MS, &mut table);
    assert!(table.row("burn", "entry-1.0/0").is_none());
}

/// An entry stops while an earlier write is in flight. It must not take that write's success for that of the
/// last summary, which is not committed yet.
#[test]
fn the_last_summary_is_written_until_the_store_has_it() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    let mut effects = Vec::new();
    one.1
        .step(Time::from_millis(MINUTE_MS), Event::Wake, &mut effects);
    let Some(Effect::Store { id, call }) = effects.pop() else {
        panic!("no write");
    };
    assert!(matches!(call, Call::Transact(_)));
    table.push_fault(Fault::Down);
    step(&mut one, 2 * MINUTE_MS, Event::Stopped, &mut table);
    let outcome = table.apply(&call);
    step(
        &mut one,
        2 * MINUTE_MS,
        Event::Store { id, outcome },
        &mut table,
    );
    assert!(!one.1.is_done());
    let retry_ms = one.1.next_wake().map(Time::as_millis).unwrap();
    step(&mut one, retry_ms, Event::Wake, &mut table);
    assert!(one.1.is_done());
    assert_eq!(one.1.next_wake(), None);
}

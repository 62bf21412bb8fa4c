//! Summaries on their way through the store, with its failures.

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
const ZERO: u64 = 500_000 * 3_600_000;
const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

/// An entry that began at a time of the test.
fn entry(name: &str, start: u64) -> (u64, Collector) {
    let incarnation = format!("{name}.{start}");
    let ledger = Ledger::new(name.into(), incarnation.into(), ZERO + start);
    (start, Collector::new(Time::ZERO, ledger))
}

/// Records requests of several accounts.
fn record(entry: &mut (u64, Collector), at: u64, accounts: usize) {
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
        let now = Time::from_millis(at - entry.0);
        entry.1.ledger.record(now, &sample);
    }
}

/// Hands an event in and carries out store calls until there are none; gives the reports.
fn step(entry: &mut (u64, Collector), at: u64, event: Event, table: &mut Table) -> Vec<Report> {
    let now = Time::from_millis(at - entry.0);
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

/// The report that an entry gives.
fn ask(entry: &mut (u64, Collector), at: u64, table: &mut Table) -> Report {
    let event = Event::ReportRequested {
        requester: 1,
        deployment: None,
    };
    step(entry, at, event, table).pop().expect("a report")
}

/// Requests of a report.
fn requests(report: &Report) -> u64 {
    report.rows.iter().map(|row| row.requests).sum()
}

/// All entries are replaced one after the other, one of them killed before it could say goodbye. An
/// operator asks a new entry: the day's requests are all there but for the killed one's last ones.
#[test]
fn a_report_survives_the_replacement_of_every_entry() {
    let mut table = Table::new();
    let (mut stopped, mut killed) = (entry("entry-1", 0), entry("entry-2", 0));
    for old in [&mut stopped, &mut killed] {
        record(old, 0, 2);
        step(old, MINUTE, Event::Wake, &mut table);
        record(old, MINUTE, 2);
    }
    step(&mut stopped, 2 * MINUTE, Event::Stopped, &mut table);
    assert!(stopped.1.is_done());
    let mut new = entry("entry-3", 10 * MINUTE);
    record(&mut new, 10 * MINUTE, 1);
    let report = ask(&mut new, 11 * MINUTE, &mut table);
    assert_eq!(requests(&report), 4 + 2 + 1);
    let missing: Vec<&str> = report.gaps.iter().map(|gap| gap.entry.as_str()).collect();
    assert_eq!(missing, ["entry-2"]);
}

/// The store carries a write out and its answer is lost. The next write must not count twice.
#[test]
fn a_lost_answer_counts_nothing_twice() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    record(&mut one, 0, 3);
    table.push_fault(Fault::LostAnswer);
    step(&mut one, MINUTE, Event::Wake, &mut table);
    step(&mut one, 2 * MINUTE, Event::Wake, &mut table);
    let mut other = entry("entry-2", MINUTE);
    assert_eq!(requests(&ask(&mut other, 2 * MINUTE, &mut table)), 3);
}

/// An operator asks while the store is down, which is just when reports are wanted. The answer comes
/// at once with what the asked entry knows, and says that the rest is missing.
#[test]
fn a_store_that_is_down_leaves_the_entry_s_own_counts_and_a_gap() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    record(&mut one, 0, 3);
    table.set_down(true);
    let report = ask(&mut one, MINUTE, &mut table);
    assert_eq!(requests(&report), 3);
    assert_eq!(report.gaps[0].entry, "(store)");
    assert!(report.to_text().contains("(store): could not be read"));
}

#[test]
fn a_large_summary_takes_several_rows_and_gives_them_back_when_it_shrinks() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    record(&mut one, 0, 250);
    step(&mut one, MINUTE, Event::Wake, &mut table);
    assert!(table.row("burn", "entry-1.0/2").is_some());
    let mut other = entry("entry-2", 0);
    assert_eq!(requests(&ask(&mut other, MINUTE, &mut table)), 250);
    record(&mut one, 26 * HOUR, 1);
    step(&mut one, 26 * HOUR, Event::Wake, &mut table);
    assert!(table.row("burn", "entry-1.0/0").is_some());
    assert!(table.row("burn", "entry-1.0/1").is_none());
    assert_eq!(requests(&ask(&mut other, 26 * HOUR, &mut table)), 1);
}

#[test]
fn a_large_summary_is_written_more_seldom() {
    let mut table = Table::new();
    let (mut small, mut large) = (entry("entry-1", 0), entry("entry-2", 0));
    record(&mut small, 0, 5);
    record(&mut large, 0, 900);
    for one in [&mut small, &mut large] {
        step(one, MINUTE, Event::Wake, &mut table);
    }
    let wait = |one: &Collector| one.next_wake().map(Time::as_millis).unwrap_or_default() - MINUTE;
    assert_eq!(wait(&small.1), MINUTE);
    assert!(wait(&large.1) > 3 * MINUTE);
    let report = ask(&mut small, 4 * MINUTE, &mut table);
    assert!(report.gaps.is_empty(), "{:?}", report.gaps);
}

#[test]
fn rows_older_than_the_period_are_removed_by_who_reads_them() {
    let mut table = Table::new();
    let mut old = entry("entry-1", 0);
    record(&mut old, 0, 1);
    step(&mut old, MINUTE, Event::Wake, &mut table);
    let mut new = entry("entry-2", 27 * HOUR);
    ask(&mut new, 27 * HOUR, &mut table);
    assert!(table.row("burn", "entry-1.0/0").is_none());
}

/// An entry stops while its last but one write is on its way. It must not take that write's success
/// for that of the last summary, which the store has yet to take.
#[test]
fn the_last_summary_is_written_until_the_store_has_it() {
    let mut table = Table::new();
    let mut one = entry("entry-1", 0);
    let mut effects = Vec::new();
    one.1
        .step(Time::from_millis(MINUTE), Event::Wake, &mut effects);
    let Some(Effect::Store { id, call }) = effects.pop() else {
        panic!("no write");
    };
    assert!(matches!(call, Call::Transact(_)));
    table.push_fault(Fault::Down);
    step(&mut one, 2 * MINUTE, Event::Stopped, &mut table);
    let outcome = table.apply(&call);
    step(
        &mut one,
        2 * MINUTE,
        Event::Store { id, outcome },
        &mut table,
    );
    assert!(!one.1.is_done());
    let again = one.1.next_wake().map(Time::as_millis).unwrap();
    step(&mut one, again, Event::Wake, &mut table);
    assert!(one.1.is_done());
    assert_eq!(one.1.next_wake(), None);
}

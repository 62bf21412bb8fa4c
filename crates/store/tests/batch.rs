//! Group commit of inserts from many callers.

use std::collections::BTreeMap;

use clock::Span;
use clock::Time;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use serde_json::json;
use store::batch::Batch;
use store::batch::Effect;
use store::batch::Insert;
use store::batch::Ticket;
use store::call::Address;
use store::call::Outcome;
use store::configs::batch::Settings;
use store::fake::Fault;
use store::fake::Table;

fn insert(ticket: u64, key: &str) -> Insert {
    Insert {
        ticket: Ticket(ticket),
        address: Address::new("intents", key),
        value: json!({ "token": ticket }),
    }
}

/// Carries out all calls and collects the outcomes of the inserts.
fn execute(batch: &mut Batch, now: Time, table: &mut Table, effects: Vec<Effect>) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut pending = effects;
    while let Some(effect) = pending.pop() {
        match effect {
            Effect::Store { id, call } => {
                let outcome = table.apply(&call);
                batch.handle_outcome(now, id, outcome, &mut pending);
            }
            Effect::Done { ticket, outcome } => {
                assert_eq!(outcomes.0.insert(ticket, outcome), None, "completed twice");
            }
        }
    }
    outcomes
}

#[derive(Debug, Default)]
struct Outcomes(BTreeMap<Ticket, Outcome>);

#[test]
fn many_inserts_take_few_transactions() {
    let mut table = Table::new();
    let mut batch = Batch::new("e1".into(), Settings::default());
    let mut effects = Vec::new();
    for ticket in 0..256 {
        batch.insert(
            Time::ZERO,
            insert(ticket, &format!("k{ticket}")),
            &mut effects,
        );
    }
    let mut outcomes = execute(&mut batch, Time::ZERO, &mut table, effects);
    let mut effects = Vec::new();
    batch.poll(Time::from_millis(4), &mut effects);
    outcomes
        .0
        .extend(execute(&mut batch, Time::ZERO, &mut table, effects).0);
    assert_eq!(outcomes.0.len(), 256);
    assert!(table.served().1 <= 5, "{:?}", table.served());
}

/// A repeated request conflicts with its own intent row; other requests in the same transaction must not be
/// refused because of it.
#[test]
fn a_conflict_fails_only_its_own_caller() {
    let mut table = Table::new();
    let mut batch = Batch::new("e1".into(), Settings::default());
    let mut effects = Vec::new();
    batch.insert(Time::ZERO, insert(1, "same"), &mut effects);
    batch.poll(Time::from_millis(4), &mut effects);
    execute(&mut batch, Time::ZERO, &mut table, effects);

    let mut effects = Vec::new();
    for (ticket, key) in [(2, "a"), (3, "same"), (4, "b"), (5, "b")] {
        batch.insert(Time::ZERO, insert(ticket, key), &mut effects);
    }
    batch.poll(Time::from_millis(4), &mut effects);
    let outcomes = execute(&mut batch, Time::from_millis(4), &mut table, effects);
    let committed = |ticket| matches!(outcomes.0[&Ticket(ticket)], Outcome::Committed(_));
    assert!(committed(2) && committed(4));
    for (ticket, token) in [(3, 1), (5, 4)] {
        let Outcome::Conflict(rows) = &outcomes.0[&Ticket(ticket)] else {
            panic!("{outcomes:?}")
        };
        let row = rows[0].1.as_ref().expect("no row");
        assert_eq!(row.value, json!({ "token": token }));
    }
}

/// Under any sequence of faults, each insert completes exactly once with a true outcome: a committed row has
/// the caller's token, and an unavailable or conflicting insert never does.
#[test]
fn every_insert_completes_once_with_a_true_outcome() {
    let config = Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec((0..12_u8, 0..6_u8, any::<bool>()), 1..80);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut table = Table::new();
        let settings = Settings {
            rows: 5,
            ..Settings::default()
        };
        let mut batch = Batch::new("e1".into(), settings);
        let mut now = Time::ZERO;
        let mut outcomes = Outcomes::default();
        for (ticket, (key, fault, wait)) in steps.iter().enumerate() {
            let faults = [Fault::Down, Fault::LostCall, Fault::LostAnswer];
            if let Some(fault) = faults.get(usize::from(*fault)) {
                table.push_fault(*fault);
            }
            let mut effects = Vec::new();
            let row = insert(ticket as u64, &format!("k{key}"));
            batch.insert(now, row, &mut effects);
            if *wait {
                now = now + Span::from_millis(5);
                batch.poll(now, &mut effects);
            }
            outcomes
                .0
                .extend(execute(&mut batch, now, &mut table, effects).0);
        }
        let mut effects = Vec::new();
        let end = now + Span::from_seconds(1);
        batch.poll(end, &mut effects);
        outcomes
            .0
            .extend(execute(&mut batch, end, &mut table, effects).0);
        prop_assert_eq!(outcomes.0.len(), steps.len());
        for (ticket, outcome) in &outcomes.0 {
            let key = format!("k{}", steps[ticket.0 as usize].0);
            let row = table.row("intents", &key);
            let ours = row.is_some_and(|row| row.value == json!({ "token": ticket.0 }));
            match outcome {
                Outcome::Committed(_) => prop_assert!(ours),
                Outcome::Unknown => {}
                _ => prop_assert!(!ours),
            }
        }
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

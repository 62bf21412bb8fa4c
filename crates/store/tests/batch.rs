//! Inserts of many callers in few transactions.

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

/// Carries out all calls at once and collects the ends of inserts.
fn carry_out(batch: &mut Batch, now: Time, table: &mut Table, effects: Vec<Effect>) -> Ends {
    let mut ends = Ends::default();
    let mut open = effects;
    while let Some(effect) = open.pop() {
        match effect {
            Effect::Store { id, call } => {
                let outcome = table.apply(&call);
                batch.answered(now, id, outcome, &mut open);
            }
            Effect::Done { ticket, outcome } => {
                assert_eq!(ends.0.insert(ticket, outcome), None, "ended twice");
            }
        }
    }
    ends
}

#[derive(Debug, Default)]
struct Ends(BTreeMap<Ticket, Outcome>);

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
    let mut ends = carry_out(&mut batch, Time::ZERO, &mut table, effects);
    let mut effects = Vec::new();
    batch.poll(Time::from_millis(4), &mut effects);
    ends.0
        .extend(carry_out(&mut batch, Time::ZERO, &mut table, effects).0);
    assert_eq!(ends.0.len(), 256);
    assert!(table.served().1 <= 5, "{:?}", table.served());
}

/// A caller repeats a request whose intent row exists. Other callers' requests in the same
/// transaction are not refused because of it.
#[test]
fn the_conflict_of_one_caller_fails_no_other() {
    let mut table = Table::new();
    let mut batch = Batch::new("e1".into(), Settings::default());
    let mut effects = Vec::new();
    batch.insert(Time::ZERO, insert(1, "same"), &mut effects);
    batch.poll(Time::from_millis(4), &mut effects);
    carry_out(&mut batch, Time::ZERO, &mut table, effects);

    let mut effects = Vec::new();
    for (ticket, key) in [(2, "a"), (3, "same"), (4, "b"), (5, "b")] {
        batch.insert(Time::ZERO, insert(ticket, key), &mut effects);
    }
    batch.poll(Time::from_millis(4), &mut effects);
    let ends = carry_out(&mut batch, Time::from_millis(4), &mut table, effects);
    let committed = |ticket| matches!(ends.0[&Ticket(ticket)], Outcome::Committed(_));
    assert!(committed(2) && committed(4));
    for (ticket, token) in [(3, 1), (5, 4)] {
        let Outcome::Conflict(rows) = &ends.0[&Ticket(ticket)] else {
            panic!("{ends:?}")
        };
        let row = rows[0].1.as_ref().expect("no row");
        assert_eq!(row.value, json!({ "token": token }));
    }
}

/// Under faults in any order, every insert ends once, and its end is true: committed rows carry the
/// caller's token, and a row whose insert was "unavailable" never does.
#[test]
fn every_insert_ends_once_and_truly() {
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
        let mut ends = Ends::default();
        for (ticket, (key, fault, wait)) in steps.iter().enumerate() {
            let faults = [Fault::Down, Fault::LostCall, Fault::LostAnswer];
            if let Some(fault) = faults.get(usize::from(*fault)) {
                table.push_fault(*fault);
            }
            let mut effects = Vec::new();
            let one = insert(ticket as u64, &format!("k{key}"));
            batch.insert(now, one, &mut effects);
            if *wait {
                now = now + Span::from_millis(5);
                batch.poll(now, &mut effects);
            }
            ends.0
                .extend(carry_out(&mut batch, now, &mut table, effects).0);
        }
        let mut effects = Vec::new();
        let late = now + Span::from_seconds(1);
        batch.poll(late, &mut effects);
        ends.0
            .extend(carry_out(&mut batch, late, &mut table, effects).0);
        prop_assert_eq!(ends.0.len(), steps.len());
        for (ticket, outcome) in &ends.0 {
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

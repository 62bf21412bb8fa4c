//! Checks at-most-once execution by tickets over all reachable states, and the ledger's code against them.

use clock::Time;
use model::checker::check;
use model::ticket::Action;
use model::ticket::ENTRIES;
use model::ticket::Fault;
use model::ticket::REQUESTS;
use model::ticket::Request;
use model::ticket::State;
use model::ticket::Ticket;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use request::id::Incarnation;
use request::ledger::Answer;
use request::ledger::Estate;
use request::ledger::Ledger;

const CASES: u32 = 2_000;

#[test]
fn no_request_is_started_twice() {
    let report = check(&Ticket::default());
    println!(
        "ticket states={} (3 entries, 1 ticket, 3 requests)",
        report.states
    );
    if let Some(counterexample) = report.counterexample {
        panic!("{counterexample}");
    }
}

#[test]
fn every_omitted_guard_is_detected() {
    let faults = [
        Fault::NoFreeze,
        Fault::InheritTwice,
        Fault::StartOnLoss,
        Fault::SpendOnStart,
    ];
    for fault in faults {
        let report = check(&Ticket { fault });
        let counterexample = report.counterexample.expect("not found");
        println!("ticket {fault:?}: {counterexample}");
    }
}

/// The code under test: the ledger of each entry and the estates in flight.
struct Code {
    ledgers: Vec<Option<Ledger>>,
    estates: Vec<Option<Vec<Estate>>>,
    ticket: request::ticket::Ticket,
}

impl Code {
    fn new() -> Code {
        let mut ledgers: Vec<Ledger> = (0..ENTRIES)
            .map(|entry| Ledger::new(Incarnation(entry as u64)))
            .collect();
        let ticket = ledgers[0].mint(Time::ZERO, &"harrow".into(), 1).remove(0);
        Code {
            ledgers: ledgers.into_iter().map(Some).collect(),
            estates: vec![None; ENTRIES],
            ticket,
        }
    }

    /// Performs the step of the specification and returns the answer if a ledger was queried.
    fn step(&mut self, before: &State, action: Action) -> Option<Answer> {
        match action {
            Action::Spend(request) => {
                let Request::Querying(entry) = before.requests[request] else {
                    return None;
                };
                let ledger = self.ledgers[usize::from(entry)].as_mut()?;
                return Some(ledger.spend(Time::ZERO, &self.ticket));
            }
            Action::Crash(entry) => {
                self.ledgers[entry] = None;
                self.estates[entry] = None;
            }
            Action::HandOver { from, to } => {
                let estates = self.ledgers[from].as_mut()?.hand_over(Time::ZERO);
                self.estates[to] = Some(estates);
            }
            Action::Deliver(entry) => self.deliver(entry),
            Action::Query { .. } | Action::Answer(_) | Action::Lose(_) => {}
        }
        None
    }

    fn deliver(&mut self, entry: usize) {
        let estates = self.estates[entry].clone().unwrap_or_default();
        if let Some(ledger) = &mut self.ledgers[entry] {
            for estate in estates {
                ledger.inherit(Time::ZERO, estate);
            }
        }
    }
}

fn action() -> impl Strategy<Value = Action> {
    let request = 0..REQUESTS;
    let entry = 0..ENTRIES;
    prop_oneof![
        3 => (request.clone(), entry.clone())
            .prop_map(|(request, entry)| Action::Query { request, entry }),
        3 => request.clone().prop_map(Action::Spend),
        2 => request.clone().prop_map(Action::Answer),
        1 => request.prop_map(Action::Lose),
        1 => entry.clone().prop_map(Action::Crash),
        2 => (entry.clone(), entry.clone()).prop_map(|(from, to)| Action::HandOver { from, to }),
        2 => entry.prop_map(Action::Deliver),
    ]
}

/// Takes random steps in the specification and in the code. The ledger must grant or refuse exactly as the
/// specification does, and an estate that is delivered again must change nothing.
#[test]
fn the_ledger_conforms_to_the_specification() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    };
    let actions = proptest::collection::vec(action(), 1..40);
    let run = TestRunner::new(config).run(&actions, |actions| {
        let specification = Ticket::default();
        let mut state = model::checker::Specification::initial(&specification);
        let mut code = Code::new();
        for action in actions {
            let Some(next) = specification.apply(&state, action) else {
                if let Action::Deliver(entry) = action {
                    code.deliver(entry);
                }
                continue;
            };
            let answer = code.step(&state, action);
            if let Action::Spend(request) = action {
                let granted = next.requests[request] == Request::Answered(true);
                prop_assert_eq!(answer == Some(Answer::Granted), granted);
            }
            state = next;
        }
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

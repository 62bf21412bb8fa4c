//! Takes random steps in `lease::claim` and in its specification.
//!
//! Every step of the code must be allowed by the specification, and whenever the code holds the lease, the
//! specification must hold it under the same fencing number. A tick is 1000 seconds.

use clock::Span;
use clock::Time;
use lease::claim::Claim;
use lease::claim::Effect;
use lease::claim::Event;
use lease::configs::claim::Settings;
use lease::holder;
use model::checker::Specification;
use model::lease::Action;
use model::lease::Lease;
use model::lease::RIVALS;
use model::lease::State;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use store::call;
use store::call::Call;
use store::call::Outcome;
use store::fake::Table;

const CASES: u32 = 3_000;
const TICK: Span = Span::from_seconds(1_000);
/// Time that passes with each wake, so that the next one finds a step due.
const WAKE_DELAY: Span = Span::from_millis(8);
/// Fencing numbers that the specification covers.
const MAX_FENCE: u64 = 3;

/// One random step of the environment.
#[derive(Clone, Copy, Debug)]
enum Step {
    Tick,
    /// Wakes a process; its reads are answered immediately.
    Wake(usize),
    /// The service performs a write; a conflict is answered immediately.
    Arrive(usize),
    Answer(usize),
    Abandon(usize),
    AbandonedWriteArrives(usize),
}

/// The code under test.
struct Code {
    table: Table,
    now: Time,
    claims: Vec<Claim>,
    /// The write in flight, and its outcome once the service has performed it.
    writes: [Option<(call::Id, Call, Option<Outcome>)>; RIVALS],
    abandoned: [Option<Call>; RIVALS],
}

/// The code and the specification, which take the same steps.
struct Walk {
    code: Code,
    specification: Lease,
    state: State,
}

impl Walk {
    fn new() -> Walk {
        let settings = Settings {
            term: TICK.times(2),
            margin: TICK,
            renewal_interval: WAKE_DELAY.scaled(0.5),
            poll_interval: WAKE_DELAY.scaled(0.5),
            retry_delay: Span::ZERO,
            max_retry_delay: Span::ZERO,
            max_step_gap: Span::from_seconds(1_000_000),
        };
        let claims = (0..RIVALS as u64)
            .map(|index| Claim::new(holder::Id(index + 1), "fleet", settings, index))
            .collect();
        let specification = Lease {
            checks_fencing: true,
            resigns: true,
            ..Lease::default()
        };
        let code = Code {
            table: Table::new(),
            now: Time::ZERO,
            claims,
            writes: Default::default(),
            abandoned: Default::default(),
        };
        let state = specification.initial();
        let mut walk = Walk {
            code,
            specification,
            state,
        };
        for index in 0..RIVALS {
            walk.handle_event(index, Event::Want(true))
                .expect("initial event failed");
        }
        walk
    }

    /// Takes a step in the specification if it has an effect there.
    fn follow(&mut self, action: Action) {
        if let Some(state) = self.specification.apply(&self.state, action) {
            self.state = state;
        }
    }

    /// Takes a step that the specification must allow.
    fn require(&mut self, action: Action) -> Result<(), TestCaseError> {
        let state = self.specification.apply(&self.state, action);
        prop_assert!(
            state.is_some(),
            "{action:?} is not allowed: {:?}",
            self.state
        );
        self.state = state.unwrap_or_else(|| self.state.clone());
        Ok(())
    }

    fn is_outdated(&self, call: &Call) -> bool {
        let Call::Transact(transaction) = call else {
            return false;
        };
        let row = self.code.table.row("leases", "fleet");
        transaction.checks[0].revision != row.map(|row| row.revision)
    }

    fn handle_event(&mut self, index: usize, event: Event) -> Result<(), TestCaseError> {
        let mut effects = Vec::new();
        self.code.claims[index].step(self.code.now, event, &mut effects);
        for effect in effects {
            let (id, call) = match effect {
                Effect::Store { id, call } => (id, call),
                Effect::Lost(_) => {
                    self.require(Action::Resign(index))?;
                    continue;
                }
                Effect::Gained(_) | Effect::Renewed(_) => continue,
            };
            if let Call::Get { .. } = call {
                let outcome = self.code.table.apply(&call);
                self.follow(Action::Read(index));
                self.handle_event(index, Event::Store { id, outcome })?;
            } else {
                // A write that checks an outdated revision can't take effect; the specification omits it.
                if !self.is_outdated(&call) {
                    self.require(Action::SendWrite(index))?;
                }
                self.code.writes[index] = Some((id, call, None));
            }
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Tick => {
                self.code.now = self.code.now + TICK;
                self.follow(Action::Tick { slow: None });
            }
            Step::Wake(index) => {
                self.code.now = self.code.now + WAKE_DELAY;
                self.handle_event(index, Event::Wake)?;
            }
            Step::Arrive(index) => self.arrive(index)?,
            Step::Answer(index) => {
                if let Some((id, _, Some(outcome))) = self.code.writes[index].clone() {
                    self.code.writes[index] = None;
                    self.follow(Action::AnswerArrives(index));
                    self.handle_event(index, Event::Store { id, outcome })?;
                }
            }
            Step::Abandon(index) => self.abandon(index)?,
            Step::AbandonedWriteArrives(index) => {
                if let Some(call) = self.code.abandoned[index].take() {
                    self.code.table.apply(&call);
                    self.follow(Action::AbandonedWriteArrives(index));
                }
            }
        }
        self.compare()
    }

    fn arrive(&mut self, index: usize) -> Result<(), TestCaseError> {
        let Some((id, call, None)) = self.code.writes[index].clone() else {
            return Ok(());
        };
        let outcome = self.code.table.apply(&call);
        self.follow(Action::WriteArrives(index));
        if let Outcome::Conflict(_) = outcome {
            // The answer contains the current row: in the specification, an answer and a read.
            self.code.writes[index] = None;
            self.follow(Action::AnswerArrives(index));
            self.follow(Action::Read(index));
            return self.handle_event(index, Event::Store { id, outcome });
        }
        self.code.writes[index] = Some((id, call, Some(outcome)));
        Ok(())
    }

    fn abandon(&mut self, index: usize) -> Result<(), TestCaseError> {
        let Some((id, call, outcome)) = self.code.writes[index].clone() else {
            return Ok(());
        };
        if outcome.is_none() && self.code.abandoned[index].is_some() {
            return Ok(());
        }
        self.code.writes[index] = None;
        if outcome.is_none() {
            self.code.abandoned[index] = Some(call);
        }
        self.follow(Action::Abandon(index));
        let outcome = Outcome::Unknown;
        self.handle_event(index, Event::Store { id, outcome })
    }

    fn compare(&self) -> Result<(), TestCaseError> {
        for (index, claim) in self.code.claims.iter().enumerate() {
            if let Some(fence) = claim.fence(self.code.now) {
                let rival = &self.state.rivals[index];
                prop_assert!(rival.lease > 0, "{index} holds what it may not");
                prop_assert_eq!(u64::from(rival.fence), fence);
            }
        }
        Ok(())
    }
}

fn random_step() -> impl Strategy<Value = Step> {
    let index = 0..RIVALS;
    prop_oneof![
        3 => (0..1_u8).prop_map(|_| Step::Tick),
        5 => index.clone().prop_map(Step::Wake),
        4 => index.clone().prop_map(Step::Arrive),
        4 => index.clone().prop_map(Step::Answer),
        1 => index.clone().prop_map(Step::Abandon),
        1 => index.prop_map(Step::AbandonedWriteArrives),
    ]
}

#[test]
fn the_claim_conforms_to_the_specification() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(random_step(), 1..120);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut walk = Walk::new();
        for step in steps {
            if u64::from(walk.state.fence) >= MAX_FENCE {
                break;
            }
            walk.step(step)?;
        }
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

//! Walks `lease::claim` at random and the specification beside it.
//!
//! Whatever the code does must be a step that the specification allows, and where the code holds the
//! lease, so must the specification, under the same fencing number. A tick is a second.

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
/// Passes with each wake, so that the next one finds something due.
const MOMENT: Span = Span::from_millis(8);
/// Fencing numbers that the specification follows.
const FENCES: u64 = 3;

/// One thing that the world does.
#[derive(Clone, Copy, Debug)]
enum Step {
    Tick,
    /// Wakes a process; its reads are answered at once.
    Wake(usize),
    /// The service carries out a write; a conflict is answered at once.
    Arrive(usize),
    Answer(usize),
    GiveUp(usize),
    GhostArrives(usize),
}

/// The code's side.
struct Code {
    table: Table,
    now: Time,
    claims: Vec<Claim>,
    /// The write on its way, and its outcome once the service has carried it out.
    writes: [Option<(call::Id, Call, Option<Outcome>)>; RIVALS],
    ghosts: [Option<Call>; RIVALS],
}

/// Both sides.
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
            renewal_interval: MOMENT.scaled(0.5),
            poll_interval: MOMENT.scaled(0.5),
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
            ghosts: Default::default(),
        };
        let state = specification.initial();
        let mut walk = Walk {
            code,
            specification,
            state,
        };
        for index in 0..RIVALS {
            walk.feed(index, Event::Want(true)).expect("no start");
        }
        walk
    }

    /// The specification takes the same step; a step without effect there is none at all.
    fn same(&mut self, action: Action) {
        if let Some(state) = self.specification.take(&self.state, action) {
            self.state = state;
        }
    }

    /// The specification must be able to take the same step.
    fn must(&mut self, action: Action) -> Result<(), TestCaseError> {
        let state = self.specification.take(&self.state, action);
        prop_assert!(
            state.is_some(),
            "{action:?} is not allowed: {:?}",
            self.state
        );
        self.state = state.unwrap_or_else(|| self.state.clone());
        Ok(())
    }

    fn is_doomed(&self, call: &Call) -> bool {
        let Call::Transact(transaction) = call else {
            return false;
        };
        let row = self.code.table.row("leases", "fleet");
        transaction.checks[0].revision != row.map(|row| row.revision)
    }

    fn feed(&mut self, index: usize, event: Event) -> Result<(), TestCaseError> {
        let mut effects = Vec::new();
        self.code.claims[index].step(self.code.now, event, &mut effects);
        for effect in effects {
            let (id, call) = match effect {
                Effect::Store { id, call } => (id, call),
                Effect::Lost(_) => {
                    self.must(Action::Resign(index))?;
                    continue;
                }
                Effect::Gained(_) | Effect::Renewed(_) => continue,
            };
            if let Call::Get { .. } = call {
                let outcome = self.code.table.apply(&call);
                self.same(Action::Read(index));
                self.feed(index, Event::Store { id, outcome })?;
            } else {
                // A write that checks a revision which is gone already can't take effect; the
                // specification leaves it out.
                if !self.is_doomed(&call) {
                    self.must(Action::Send(index))?;
                }
                self.code.writes[index] = Some((id, call, None));
            }
        }
        Ok(())
    }

    fn take(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Tick => {
                self.code.now = self.code.now + TICK;
                self.same(Action::Tick { slow: None });
            }
            Step::Wake(index) => {
                self.code.now = self.code.now + MOMENT;
                self.feed(index, Event::Wake)?;
            }
            Step::Arrive(index) => self.arrive(index)?,
            Step::Answer(index) => {
                if let Some((id, _, Some(outcome))) = self.code.writes[index].clone() {
                    self.code.writes[index] = None;
                    self.same(Action::Answer(index));
                    self.feed(index, Event::Store { id, outcome })?;
                }
            }
            Step::GiveUp(index) => self.give_up(index)?,
            Step::GhostArrives(index) => {
                if let Some(call) = self.code.ghosts[index].take() {
                    self.code.table.apply(&call);
                    self.same(Action::GhostArrives(index));
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
        self.same(Action::Arrive(index));
        if let Outcome::Conflict(_) = outcome {
            // The answer shows the row as it is: to the specification, an answer and a read.
            self.code.writes[index] = None;
            self.same(Action::Answer(index));
            self.same(Action::Read(index));
            return self.feed(index, Event::Store { id, outcome });
        }
        self.code.writes[index] = Some((id, call, Some(outcome)));
        Ok(())
    }

    fn give_up(&mut self, index: usize) -> Result<(), TestCaseError> {
        let Some((id, call, outcome)) = self.code.writes[index].clone() else {
            return Ok(());
        };
        if outcome.is_none() && self.code.ghosts[index].is_some() {
            return Ok(());
        }
        self.code.writes[index] = None;
        if outcome.is_none() {
            self.code.ghosts[index] = Some(call);
        }
        self.same(Action::GiveUp(index));
        let outcome = Outcome::Unknown;
        self.feed(index, Event::Store { id, outcome })
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

fn step() -> impl Strategy<Value = Step> {
    let index = 0..RIVALS;
    prop_oneof![
        3 => (0..1_u8).prop_map(|_| Step::Tick),
        5 => index.clone().prop_map(Step::Wake),
        4 => index.clone().prop_map(Step::Arrive),
        4 => index.clone().prop_map(Step::Answer),
        1 => index.clone().prop_map(Step::GiveUp),
        1 => index.prop_map(Step::GhostArrives),
    ]
}

#[test]
fn the_claim_takes_only_steps_of_the_specification() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..120);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut walk = Walk::new();
        for step in steps {
            if u64::from(walk.state.fence) >= FENCES {
                break;
            }
            walk.take(step)?;
        }
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

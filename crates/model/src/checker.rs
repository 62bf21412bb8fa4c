//! Explores the reachable states of a specification breadth first.

use std::fmt;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// A protocol as a set of states, the steps between them and an invariant.
pub trait Specification {
    /// The whole state: processes, services and messages in flight.
    type State: Clone + Eq + Hash + Debug;
    /// The label of a step.
    type Action: Debug;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns every possible step from a state, with the resulting state.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// Returns the violated invariant of a state, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of a check.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of states that were visited.
    pub states: usize,
    /// A shortest path to a violation, if there is one.
    pub counterexample: Option<Counterexample>,
}

/// A shortest sequence of steps that leads to a violation.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The violated invariant.
    pub violation: &'static str,
    /// The steps that lead to the violation.
    pub actions: Vec<String>,
}

/// Visits every reachable state, or stops at the first violation and returns a shortest path to it.
pub fn check<S: Specification>(specification: &S) -> Report {
    let mut states = 0;
    let mut broken = false;
    for state in bfs_reach(specification.initial(), |state| next(specification, state)) {
        states += 1;
        if specification.violation(&state).is_some() {
            broken = true;
            break;
        }
    }
    let counterexample = broken.then(|| shortest(specification)).flatten();
    Report {
        states,
        counterexample,
    }
}

fn next<S: Specification>(specification: &S, state: &S::State) -> Vec<S::State> {
    let steps = specification.steps(state);
    steps.into_iter().map(|(_, state)| state).collect()
}

fn shortest<S: Specification>(specification: &S) -> Option<Counterexample> {
    let path = bfs(
        &specification.initial(),
        |state| next(specification, state),
        |state| specification.violation(state).is_some(),
    )?;
    let violation = specification.violation(path.last()?)?;
    let actions = path
        .windows(2)
        .filter_map(|pair| action(specification, &pair[0], &pair[1]))
        .collect();
    Some(Counterexample { violation, actions })
}

/// Returns the label of the step between two states.
fn action<S: Specification>(specification: &S, from: &S::State, to: &S::State) -> Option<String> {
    let steps = specification.steps(from);
    let step = steps.into_iter().find(|(_, state)| state == to)?;
    Some(format!("{:?}", step.0))
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} after", self.violation)?;
        for action in &self.actions {
            write!(formatter, "\n    {action}")?;
        }
        Ok(())
    }
}

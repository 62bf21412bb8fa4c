//! Visits all reachable states of a specification.

use std::fmt;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// A protocol as a set of states and the steps between them.
pub trait Specification {
    /// One state of everything: processes, services and what is on its way.
    type State: Clone + Eq + Hash + Debug;
    /// What a step is called.
    type Action: Debug;

    /// Where it begins.
    fn initial(&self) -> Self::State;

    /// Every step that may happen next.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// What is wrong with a state, if anything.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a check found.
#[derive(Clone, Debug)]
pub struct Report {
    /// States that can be reached, as far as they were visited.
    pub states: usize,
    /// The first violation on a shortest path, if there is one.
    pub counterexample: Option<Counterexample>,
}

/// How a violation comes about in the fewest steps.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// What is wrong in the end.
    pub violation: &'static str,
    /// The steps that lead there.
    pub actions: Vec<String>,
}

/// Visits every reachable state, or finds a shortest way to a violation.
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

/// The name of the step between two states.
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

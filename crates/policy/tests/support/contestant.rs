//! The policies that the benchmarks compare.

use policy::configs::scheduler::Settings;
use policy::scheduler::Scheduler;

use super::baseline::Baseline;
use super::baseline::Way;
use super::load::Pattern;
use super::policy::Policy;
use super::tally::Tally;
use super::world::World;

/// A kind of policy for the entries of a simulation.
#[derive(Clone, Debug)]
pub enum Contestant {
    /// The scheduler with these settings.
    Ours(Box<Settings>),
    /// A baseline balancer.
    Plain(Way),
}

impl Contestant {
    /// Returns the scheduler with default settings.
    pub fn ours() -> Contestant {
        Contestant::Ours(Box::default())
    }

    /// Returns the baseline that most balancers default to.
    pub fn fewest() -> Contestant {
        Contestant::Plain(Way::FewestOutstanding)
    }

    /// Returns its name in the table.
    pub fn name(&self) -> &'static str {
        match self {
            Contestant::Ours(_) => "ours",
            Contestant::Plain(Way::RoundRobin) => "fifo+round-robin",
            Contestant::Plain(Way::FewestOutstanding) => "fewest",
            Contestant::Plain(Way::RandomOfTwo) => "random-of-two",
        }
    }

    /// Returns the scheduler and all baselines.
    pub fn all() -> Vec<Contestant> {
        vec![
            Contestant::ours(),
            Contestant::Plain(Way::RoundRobin),
            Contestant::Plain(Way::FewestOutstanding),
            Contestant::Plain(Way::RandomOfTwo),
        ]
    }

    /// Simulates a pattern.
    pub fn run(&self, pattern: &Pattern, seed: u64) -> Tally {
        let contestant = self.clone();
        let make = move |seed: u64| -> Box<dyn Policy> {
            match &contestant {
                Contestant::Ours(settings) => Box::new(Scheduler::with_settings(seed, **settings)),
                Contestant::Plain(way) => Box::new(Baseline::new(*way, seed)),
            }
        };
        World::new(pattern.clone(), seed, &make).run()
    }
}

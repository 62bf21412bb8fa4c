//! The policies that the benchmarks compare.

use policy::configs::scheduler::Settings;
use policy::scheduler::Scheduler;

use super::baseline::Baseline;
use super::baseline::Strategy;
use super::load::Pattern;
use super::policy::Policy;
use super::tally::Tally;
use super::world::World;

/// A kind of policy for the entries of a simulation.
#[derive(Clone, Debug)]
pub enum Variant {
    /// The scheduler with these settings.
    Scheduler(Box<Settings>),
    /// A baseline balancer.
    Baseline(Strategy),
}

impl Variant {
    /// Returns the scheduler with default settings.
    pub fn scheduler() -> Variant {
        Variant::Scheduler(Box::default())
    }

    /// Returns the baseline that most balancers default to.
    pub fn least_outstanding() -> Variant {
        Variant::Baseline(Strategy::LeastOutstanding)
    }

    /// Returns its name in the table.
    pub fn name(&self) -> &'static str {
        match self {
            Variant::Scheduler(_) => "ours",
            Variant::Baseline(Strategy::RoundRobin) => "fifo+round-robin",
            Variant::Baseline(Strategy::LeastOutstanding) => "fewest",
            Variant::Baseline(Strategy::RandomOfTwo) => "random-of-two",
        }
    }

    /// Returns the scheduler and all baselines.
    pub fn all() -> Vec<Variant> {
        vec![
            Variant::scheduler(),
            Variant::Baseline(Strategy::RoundRobin),
            Variant::Baseline(Strategy::LeastOutstanding),
            Variant::Baseline(Strategy::RandomOfTwo),
        ]
    }

    /// Simulates a pattern.
    pub fn run(&self, pattern: &Pattern, seed: u64) -> Tally {
        let variant = self.clone();
        let make = move |seed: u64| -> Box<dyn Policy> {
            match &variant {
                Variant::Scheduler(settings) => {
                    Box::new(Scheduler::with_settings(seed, **settings))
                }
                Variant::Baseline(strategy) => Box::new(Baseline::new(*strategy, seed)),
            }
        };
        World::new(pattern.clone(), seed, &make).run()
    }
}

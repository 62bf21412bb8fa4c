//! The policies that the table compares.

use policy::configs::scheduler::Settings;
use policy::scheduler::Scheduler;

use super::baseline::Baseline;
use super::baseline::Way;
use super::load::Pattern;
use super::policy::Policy;
use super::tally::Tally;
use super::world::World;

/// A way to make one entry's policy.
#[derive(Clone, Debug)]
pub enum Contestant {
    /// The scheduler with these settings.
    Ours(Box<Settings>),
    /// A plain balancer.
    Plain(Way),
}

impl Contestant {
    /// The scheduler with its defaults.
    pub fn ours() -> Contestant {
        Contestant::Ours(Box::default())
    }

    /// The baseline that most balancers default to.
    pub fn fewest() -> Contestant {
        Contestant::Plain(Way::FewestOutstanding)
    }

    /// Its name in the table.
    pub fn name(&self) -> &'static str {
        match self {
            Contestant::Ours(_) => "ours",
            Contestant::Plain(Way::RoundRobin) => "fifo+round-robin",
            Contestant::Plain(Way::FewestOutstanding) => "fewest",
            Contestant::Plain(Way::RandomOfTwo) => "random-of-two",
        }
    }

    /// Ours and all baselines.
    pub fn all() -> Vec<Contestant> {
        vec![
            Contestant::ours(),
            Contestant::Plain(Way::RoundRobin),
            Contestant::Plain(Way::FewestOutstanding),
            Contestant::Plain(Way::RandomOfTwo),
        ]
    }

    /// Runs a pattern.
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

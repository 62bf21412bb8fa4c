//! Random runs: requests and faults, generated from a seed.

use clock::Span;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::check;
use crate::check::Breach;
use crate::fault::Fault;
use crate::history::History;
use crate::history::RequestId;
use crate::world::Bug;
use crate::world::Dedup;
use crate::world::Shape;
use crate::world::World;

/// Time during which requests and faults start, in milliseconds.
const BUSY_MILLIS: u64 = 20_000;

/// Number of availability zones of every world.
const ZONES: u64 = 3;

/// Description of one random run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed of the world and its requests.
    pub seed: u64,
    /// Number of simulated processes of each kind.
    pub shape: Shape,
    /// Number of requests of each kind.
    pub requests: u64,
    /// Faults and their start times.
    pub faults: Vec<(Span, Fault)>,
}

/// Result of a run.
pub struct Run {
    /// Everything that was observed.
    pub history: History,
    /// Breaches that the checker found.
    pub breaches: Vec<Breach>,
    /// Number of reducer steps taken.
    pub steps: u64,
}

impl Plan {
    /// Generates the run of a seed.
    pub fn new(seed: u64) -> Plan {
        let mut generator = Generator(Pcg64Mcg::seed_from_u64(seed));
        let shape = Shape {
            entries: 2 + generator.below(7) as usize,
            engines: 3 + generator.below(4) as usize,
            services: 2 + generator.below(2) as usize,
        };
        let count = generator.below(9);
        let mut faults: Vec<(Span, Fault)> = (0..count)
            .map(|_| {
                let at = Span::from_millis(generator.below(BUSY_MILLIS));
                (at, generator.fault(shape))
            })
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        Plan {
            seed,
            shape,
            requests: 4 + generator.below(8),
            faults,
        }
    }

    /// Runs to completion and checks the history.
    pub fn run(&self, bug: Bug) -> Run {
        let mut world = World::new(self.seed, self.shape, bug);
        let mut generator = Generator(Pcg64Mcg::seed_from_u64(!self.seed));
        for _ in 0..self.requests {
            generator.requests(&mut world);
        }
        for (after, fault) in &self.faults {
            world.schedule_fault(*after, *fault);
        }
        world.run_for(Span::from_millis(BUSY_MILLIS));
        let (history, steps) = world.finish();
        let breaches = check::check(&history);
        Run {
            history,
            breaches,
            steps,
        }
    }

    /// Removes every fault without which the run still starts with the same breach.
    pub fn shrink(&self, bug: Bug) -> Plan {
        let mut smallest = self.clone();
        let first_breach = |plan: &Plan| {
            let run = plan.run(bug);
            let first = run.breaches.first()?;
            let way = first.what.rsplit(';').next()?.to_owned();
            Some((first.point, way))
        };
        let expected = first_breach(self);
        let mut at = 0;
        while at < smallest.faults.len() {
            let mut fewer = smallest.clone();
            fewer.faults.remove(at);
            if first_breach(&fewer) == expected {
                smallest = fewer;
            } else {
                at += 1;
            }
        }
        smallest
    }
}

/// Seeded random generator.
struct Generator(Pcg64Mcg);

impl Generator {
    fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit.max(1)
    }

    fn span(&mut self, from: u64, to: u64) -> Span {
        Span::from_millis(from + self.below(to - from))
    }

    fn slot(&mut self, slots: usize) -> usize {
        self.below(slots as u64) as usize
    }

    /// Schedules one request of each kind; a few callers disconnect.
    fn requests(&mut self, world: &mut World) {
        let start = |generator: &mut Generator| generator.span(0, BUSY_MILLIS);
        let tokens = 1 + self.below(400);
        let after = start(self);
        let model = world.schedule_model(after, tokens);
        let after = start(self);
        world.schedule_plain(after, true, Dedup::Ticket);
        let after = start(self);
        world.schedule_plain(after, true, Dedup::Key);
        let after = start(self);
        world.schedule_plain(after, true, Dedup::None);
        let after = start(self);
        let plain = world.schedule_plain(after, false, Dedup::None);
        self.disconnect_some(world, &[model, plain]);
    }

    fn disconnect_some(&mut self, world: &mut World, requests: &[RequestId]) {
        for request in requests {
            if self.below(8) == 0 {
                let after = self.span(0, BUSY_MILLIS);
                world.schedule_disconnect(after, *request);
            }
        }
    }

    fn fault(&mut self, shape: Shape) -> Fault {
        let entry = self.slot(shape.entries);
        let other = self.slot(shape.entries);
        let backend = self.slot(shape.engines + shape.services);
        let zone = self.below(ZONES) as usize;
        let count = 1 + self.below(3) as u32;
        match self.below(20) {
            0 => Fault::KillEntry(entry),
            1 => Fault::Freeze(entry, self.span(100, 15_000)),
            2 => Fault::CutPeers(entry, other, self.span(500, 15_000)),
            3 => Fault::BreakEngines(entry),
            4 => Fault::BreakCallers(entry),
            5 => Fault::SlowPeers(entry, self.span(500, 15_000)),
            6 => Fault::LoseServiceAnswers(count),
            7 => Fault::RefuseStarts(count),
            8 => Fault::StoreDown(self.span(500, 60_000)),
            9 => Fault::StoreSlow(self.span(500, 30_000)),
            10 => Fault::LoseStoreAnswers(count),
            11 => Fault::LoseStoreCalls(count),
            12 => Fault::Reclaim(backend, self.span(5_000, 30_000)),
            13 => Fault::ReclaimZone(zone, self.span(15_000, 30_000)),
            14 => Fault::ReclaimEntry(entry, self.span(15_000, 30_000)),
            15 => Fault::StopEntry(entry),
            16 => Fault::KillBackend(backend),
            17 => Fault::RefuseInstances(self.span(5_000, 40_000)),
            18 => Fault::RaceOperators,
            _ => Fault::KillerRequest,
        }
    }
}

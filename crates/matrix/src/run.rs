//! Runs one cell: reaches the step, injects the faults and checks the history.

use clock::Span;

use crate::cell::Cell;
use crate::cell::Step;
use crate::cell::Trouble;
use crate::check;
use crate::fault::Fault;
use crate::history::Ask;
use crate::history::Fact;
use crate::table;
use crate::world::Bug;
use crate::world::Once;
use crate::world::Shape;
use crate::world::World;

/// Seeds of every cell.
pub const SEEDS: [u64; 3] = [11, 12, 13];

/// Longest time to reach the step.
const STEP_TIME: Span = Span::from_seconds(60);

/// Number of threads that run cells.
const THREADS: usize = 4;

/// Length of streams that are still running when the faults are over, in tokens.
const LONG: u64 = 500;

/// Duration of faults that last.
const LASTING: Span = Span::from_seconds(20);

/// Number of simulated processes of each kind.
const SHAPE: Shape = Shape {
    entries: 4,
    engines: 4,
    services: 3,
};

/// Outcome of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The step was reached with every seed, and no guarantee was breached.
    Proved,
    /// The step and the fault can't be combined; holds the reason.
    Impossible(&'static str),
    /// The step was not reached, or a guarantee was breached; holds the details.
    NotProved(String),
}

/// Runs one cell with every seed.
pub fn run(cell: &Cell) -> Outcome {
    if let Some(why) = table::impossible(cell) {
        return Outcome::Impossible(why);
    }
    for seed in SEEDS {
        let mut run = Run {
            world: World::new(seed, SHAPE, Bug::None),
            subject: Ask(0),
        };
        if !run.reach(cell.step) {
            return Outcome::NotProved(format!("seed {seed}: the step was not reached"));
        }
        run.strike(cell.first);
        if let Some(second) = cell.second {
            run.strike(second);
        }
        run.world.run_for(Span::from_millis(1));
        let (history, _) = run.world.finish();
        if let Some(breach) = check::check(&history).first() {
            let (point, what) = (breach.point, &breach.what);
            return Outcome::NotProved(format!("seed {seed}: {point:?}: {what}"));
        }
    }
    Outcome::Proved
}

/// One run of a cell.
struct Run {
    world: World,
    /// The request that the step is about.
    subject: Ask,
}

impl Run {
    /// Runs until a step is reached; returns whether it was.
    fn reach(&mut self, step: Step) -> bool {
        self.background();
        match step {
            Step::Arrived => self.plain(false, Once::No) && self.sent(),
            Step::LeaveByTicket => self.plain(true, Once::Ticket) && self.sent_and(2),
            Step::LeaveByRow => self.plain(true, Once::Key) && self.sent_and(3),
            Step::Queued => {
                self.world.fault_in(Span::ZERO, Fault::RefuseStarts(3));
                self.model(20) && self.sent_and(3)
            }
            Step::PlainRuns => self.plain(true, Once::Key) && self.ran(1),
            Step::Started => self.model(LONG) && self.ran(1),
            Step::Head => self.model(LONG) && self.headed(),
            Step::Streaming => self.model(LONG) && self.chunks(10),
            Step::Moved => {
                self.model(LONG) && self.chunks(10) && self.reclaim_backend() && self.ran(2)
            }
            Step::Ended => self.model(30) && self.chunks(30),
            Step::Resumed => {
                self.model(LONG) && self.chunks(10) && self.cut_callers() && self.tries(2)
            }
            Step::HandedOff => {
                self.model(LONG) && self.chunks(10) && self.stop() && self.continued()
            }
            Step::Cancelled => self.model(LONG) && self.chunks(10) && self.cancel(),
            Step::LeaseRenewal => self.model(LONG) && self.chunks(10) && self.writes("members"),
            Step::ConfigCommit => {
                self.model(LONG) && self.chunks(10) && self.change() && self.writes("config")
            }
            Step::ConfigApply => {
                self.model(LONG)
                    && self.chunks(10)
                    && self.change()
                    && self.writes("config")
                    && self.wait(6)
            }
            Step::Drain => self.model(LONG) && self.chunks(10) && self.stop() && self.wait(100),
            Step::LedgerHandover => {
                self.plain(true, Once::Ticket) && self.sent() && self.stop() && self.handed_over()
            }
            Step::InstanceLeave => {
                self.model(LONG) && self.chunks(10) && self.reclaim_backend() && self.wait(700)
            }
        }
    }

    /// Schedules requests of every kind beside the subject.
    fn background(&mut self) {
        for at in 0..6 {
            let after = Span::from_millis(at * 400);
            self.world.ask_model(after, 40);
            self.world.ask_plain(after, true, Once::Ticket);
            self.world.ask_plain(after, true, Once::Key);
        }
    }

    /// Returns the slot of the entry that serves the subject, or the first.
    fn entry(&self) -> usize {
        self.world.slot_of(self.subject).unwrap_or(0)
    }

    /// Returns the slot of the backend server that last ran the subject, or the first.
    fn backend(&self) -> usize {
        self.world.backend_of(self.subject).unwrap_or(0)
    }

    fn strike(&mut self, trouble: Trouble) {
        let (entry, backend) = (self.entry(), self.backend());
        let others = (0..SHAPE.entries).filter(|other| *other != entry);
        let faults: Vec<Fault> = match trouble {
            Trouble::KillEntry => vec![Fault::KillEntry(entry)],
            Trouble::KillBackend => vec![Fault::KillBackend(backend)],
            Trouble::Freeze => vec![Fault::Freeze(entry, Span::from_seconds(3))],
            Trouble::LeaseLapsed => vec![Fault::Freeze(entry, Span::from_seconds(12))],
            Trouble::CutOut => others
                .map(|other| Fault::CutPeers(entry, other, LASTING))
                .collect(),
            Trouble::CutIn => others
                .map(|other| Fault::CutPeers(other, entry, LASTING))
                .collect(),
            Trouble::CutCallers => vec![Fault::BreakCallers(entry)],
            Trouble::CutEngines => vec![Fault::BreakEngines(entry)],
            Trouble::Slow => vec![Fault::SlowPeers(entry, LASTING)],
            Trouble::LostAnswer => {
                vec![Fault::LoseStoreAnswers(3), Fault::LoseServiceAnswers(2)]
            }
            Trouble::StoreDown => vec![Fault::StoreDown(LASTING)],
            Trouble::StoreSlow => vec![Fault::StoreSlow(LASTING)],
            Trouble::ReclaimInstance => vec![Fault::Reclaim(backend, Span::from_seconds(10))],
            Trouble::ReclaimZone => vec![Fault::ReclaimZone(entry % 3, LASTING)],
            Trouble::ReclaimEntry => vec![Fault::ReclaimEntry(entry, LASTING)],
            Trouble::StopEntry => vec![Fault::StopEntry(entry)],
            Trouble::RefusedReplacement => vec![
                Fault::RefuseInstances(Span::from_seconds(40)),
                Fault::Reclaim(backend, Span::from_seconds(10)),
            ],
            Trouble::OperatorsRace => vec![Fault::RaceOperators],
            Trouble::KillerRequest => vec![Fault::KillerRequest],
        };
        for fault in faults {
            self.world.fault_in(Span::ZERO, fault);
        }
    }

    fn model(&mut self, tokens: u64) -> bool {
        self.subject = self.world.ask_model(Span::from_millis(1_500), tokens);
        true
    }

    fn plain(&mut self, non_idempotent: bool, once: Once) -> bool {
        let after = Span::from_millis(1_500);
        self.subject = self.world.ask_plain(after, non_idempotent, once);
        true
    }

    /// Runs until `count` matching facts about the subject have been recorded.
    fn seen(&mut self, count: usize, sort: impl Fn(&Fact, Ask) -> bool) -> bool {
        let subject = self.subject;
        self.world.run_to(STEP_TIME, |world| {
            let facts = world.history().records.iter();
            facts.filter(|(_, fact)| sort(fact, subject)).count() >= count
        })
    }

    fn sent(&mut self) -> bool {
        self.tries(1)
    }

    fn sent_and(&mut self, millis: u64) -> bool {
        self.sent() && self.wait(millis)
    }

    fn tries(&mut self, count: usize) -> bool {
        self.seen(
            count,
            |fact, subject| matches!(fact, Fact::Sent { ask, .. } if *ask == subject),
        )
    }

    fn ran(&mut self, count: usize) -> bool {
        self.seen(
            count,
            |fact, subject| matches!(fact, Fact::Ran { ask, .. } if *ask == subject),
        )
    }

    fn chunks(&mut self, count: usize) -> bool {
        self.seen(
            count,
            |fact, subject| matches!(fact, Fact::Chunk { ask, .. } if *ask == subject),
        )
    }

    fn continued(&mut self) -> bool {
        self.seen(
            1,
            |fact, subject| matches!(fact, Fact::Continued { ask } if *ask == subject),
        )
    }

    fn headed(&mut self) -> bool {
        let subject = self.subject;
        self.world
            .run_to(STEP_TIME, |world| world.is_headed(subject))
    }

    fn wait(&mut self, millis: u64) -> bool {
        self.world.run_for(Span::from_millis(millis));
        true
    }

    fn writes(&mut self, table: &str) -> bool {
        self.world
            .run_to(STEP_TIME, |world| world.is_writing(table))
    }

    fn handed_over(&mut self) -> bool {
        self.world.run_to(STEP_TIME, |world| world.handovers() > 0)
    }

    fn change(&mut self) -> bool {
        self.world.fault_in(Span::ZERO, Fault::RaceOperators);
        self.wait(1)
    }

    fn stop(&mut self) -> bool {
        let slot = self.entry();
        self.world.fault_in(Span::ZERO, Fault::StopEntry(slot));
        true
    }

    fn cut_callers(&mut self) -> bool {
        let slot = self.entry();
        self.world.fault_in(Span::ZERO, Fault::BreakCallers(slot));
        true
    }

    fn reclaim_backend(&mut self) -> bool {
        let fault = Fault::Reclaim(self.backend(), Span::from_seconds(10));
        self.world.fault_in(Span::ZERO, fault);
        true
    }

    fn cancel(&mut self) -> bool {
        self.world.cancel(self.subject);
        self.wait(1)
    }
}

/// Runs cells in parallel and returns their outcomes in order.
pub fn run_all(cells: &[Cell]) -> Vec<Outcome> {
    std::thread::scope(|scope| {
        let size = cells.len().div_ceil(THREADS).max(1);
        let parts = cells.chunks(size);
        let handles: Vec<_> = parts
            .map(|part| scope.spawn(|| part.iter().map(run).collect::<Vec<Outcome>>()))
            .collect();
        let joined = handles
            .into_iter()
            .map(|handle| handle.join().unwrap_or_default());
        joined.flatten().collect()
    })
}

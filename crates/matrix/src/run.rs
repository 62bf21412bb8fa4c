//! Runs one cell: reaches the step, injects the faults and checks the history.

use clock::Span;

use crate::cell::Cell;
use crate::cell::Step;
use crate::cell::Trouble;
use crate::check;
use crate::fault::Fault;
use crate::history::Fact;
use crate::history::RequestId;
use crate::table;
use crate::world::Bug;
use crate::world::Dedup;
use crate::world::Shape;
use crate::world::World;

/// Seeds of every cell.
pub const SEEDS: [u64; 3] = [11, 12, 13];

/// Longest time to reach the step.
const STEP_TIME: Span = Span::from_seconds(60);

/// Number of threads that run cells.
const THREADS: usize = 4;

/// Length of streams that are still running when the faults are over, in tokens.
const LONG_STREAM_TOKENS: u64 = 500;

/// Duration of faults that last.
const FAULT_TIME: Span = Span::from_seconds(20);

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
    if let Some(reason) = table::impossible(cell) {
        return Outcome::Impossible(reason);
    }
    for seed in SEEDS {
        let mut run = Run {
            world: World::new(seed, SHAPE, Bug::None),
            subject: RequestId(0),
        };
        if !run.reach(cell.step) {
            return Outcome::NotProved(format!("seed {seed}: the step was not reached"));
        }
        run.inject(cell.first);
        if let Some(second) = cell.second {
            run.inject(second);
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
    subject: RequestId,
}

impl Run {
    /// Runs until a step is reached; returns whether it was.
    fn reach(&mut self, step: Step) -> bool {
        self.background();
        match step {
            Step::Arrived => self.send_plain(false, Dedup::None) && self.sent(),
            Step::LeaveByTicket => self.send_plain(true, Dedup::Ticket) && self.sent_then_wait(2),
            Step::LeaveByRow => self.send_plain(true, Dedup::Key) && self.sent_then_wait(3),
            Step::Queued => {
                self.world
                    .schedule_fault(Span::ZERO, Fault::RefuseStarts(3));
                self.send_model(20) && self.sent_then_wait(3)
            }
            Step::PlainRuns => self.send_plain(true, Dedup::Key) && self.started(1),
            Step::Started => self.send_model(LONG_STREAM_TOKENS) && self.started(1),
            Step::Head => self.send_model(LONG_STREAM_TOKENS) && self.head_received(),
            Step::Streaming => self.send_model(LONG_STREAM_TOKENS) && self.chunks(10),
            Step::Moved => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.reclaim_backend()
                    && self.started(2)
            }
            Step::Ended => self.send_model(30) && self.chunks(30),
            Step::Resumed => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.cut_callers()
                    && self.tries(2)
            }
            Step::HandedOff => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.stop_entry()
                    && self.redirected()
            }
            Step::Cancelled => {
                self.send_model(LONG_STREAM_TOKENS) && self.chunks(10) && self.cancel()
            }
            Step::LeaseRenewal => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.write_in_flight("members")
            }
            Step::ConfigCommit => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.change_account()
                    && self.write_in_flight("config")
            }
            Step::ConfigApply => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.change_account()
                    && self.write_in_flight("config")
                    && self.wait(6)
            }
            Step::Drain => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.stop_entry()
                    && self.wait(100)
            }
            Step::LedgerHandover => {
                self.send_plain(true, Dedup::Ticket)
                    && self.sent()
                    && self.stop_entry()
                    && self.handed_over()
            }
            Step::InstanceLeave => {
                self.send_model(LONG_STREAM_TOKENS)
                    && self.chunks(10)
                    && self.reclaim_backend()
                    && self.wait(700)
            }
        }
    }

    /// Schedules requests of every kind beside the subject.
    fn background(&mut self) {
        for at in 0..6 {
            let after = Span::from_millis(at * 400);
            self.world.schedule_model(after, 40);
            self.world.schedule_plain(after, true, Dedup::Ticket);
            self.world.schedule_plain(after, true, Dedup::Key);
        }
    }

    /// Returns the slot of the entry that serves the subject, or the first.
    fn entry(&self) -> usize {
        self.world.entry_slot_of(self.subject).unwrap_or(0)
    }

    /// Returns the slot of the backend server that last ran the subject, or the first.
    fn backend(&self) -> usize {
        self.world.backend_slot_of(self.subject).unwrap_or(0)
    }

    fn inject(&mut self, trouble: Trouble) {
        let (entry, backend) = (self.entry(), self.backend());
        let others = (0..SHAPE.entries).filter(|other| *other != entry);
        let faults: Vec<Fault> = match trouble {
            Trouble::KillEntry => vec![Fault::KillEntry(entry)],
            Trouble::KillBackend => vec![Fault::KillBackend(backend)],
            Trouble::Freeze => vec![Fault::Freeze(entry, Span::from_seconds(3))],
            Trouble::LeaseLapsed => vec![Fault::Freeze(entry, Span::from_seconds(12))],
            Trouble::CutOut => others
                .map(|other| Fault::CutPeers(entry, other, FAULT_TIME))
                .collect(),
            Trouble::CutIn => others
                .map(|other| Fault::CutPeers(other, entry, FAULT_TIME))
                .collect(),
            Trouble::CutCallers => vec![Fault::BreakCallers(entry)],
            Trouble::CutEngines => vec![Fault::BreakEngines(entry)],
            Trouble::Slow => vec![Fault::SlowPeers(entry, FAULT_TIME)],
            Trouble::LostAnswer => {
                vec![Fault::LoseStoreAnswers(3), Fault::LoseServiceAnswers(2)]
            }
            Trouble::StoreDown => vec![Fault::StoreDown(FAULT_TIME)],
            Trouble::StoreSlow => vec![Fault::StoreSlow(FAULT_TIME)],
            Trouble::ReclaimInstance => vec![Fault::Reclaim(backend, Span::from_seconds(10))],
            Trouble::ReclaimZone => vec![Fault::ReclaimZone(entry % 3, FAULT_TIME)],
            Trouble::ReclaimEntry => vec![Fault::ReclaimEntry(entry, FAULT_TIME)],
            Trouble::StopEntry => vec![Fault::StopEntry(entry)],
            Trouble::RefusedReplacement => vec![
                Fault::RefuseInstances(Span::from_seconds(40)),
                Fault::Reclaim(backend, Span::from_seconds(10)),
            ],
            Trouble::OperatorsRace => vec![Fault::RaceOperators],
            Trouble::KillerRequest => vec![Fault::KillerRequest],
        };
        for fault in faults {
            self.world.schedule_fault(Span::ZERO, fault);
        }
    }

    fn send_model(&mut self, tokens: u64) -> bool {
        self.subject = self.world.schedule_model(Span::from_millis(1_500), tokens);
        true
    }

    fn send_plain(&mut self, non_idempotent: bool, dedup: Dedup) -> bool {
        let after = Span::from_millis(1_500);
        self.subject = self.world.schedule_plain(after, non_idempotent, dedup);
        true
    }

    /// Runs until `count` matching facts about the subject have been recorded.
    fn observed(&mut self, count: usize, matches: impl Fn(&Fact, RequestId) -> bool) -> bool {
        let subject = self.subject;
        self.world.run_until(STEP_TIME, |world| {
            let facts = world.history().records.iter();
            facts.filter(|(_, fact)| matches(fact, subject)).count() >= count
        })
    }

    fn sent(&mut self) -> bool {
        self.tries(1)
    }

    fn sent_then_wait(&mut self, millis: u64) -> bool {
        self.sent() && self.wait(millis)
    }

    fn tries(&mut self, count: usize) -> bool {
        self.observed(
            count,
            |fact, subject| matches!(fact, Fact::Sent { request, .. } if *request == subject),
        )
    }

    fn started(&mut self, count: usize) -> bool {
        self.observed(
            count,
            |fact, subject| matches!(fact, Fact::Started { request, .. } if *request == subject),
        )
    }

    fn chunks(&mut self, count: usize) -> bool {
        self.observed(
            count,
            |fact, subject| matches!(fact, Fact::Chunk { request, .. } if *request == subject),
        )
    }

    fn redirected(&mut self) -> bool {
        self.observed(
            1,
            |fact, subject| matches!(fact, Fact::Redirected { request } if *request == subject),
        )
    }

    fn head_received(&mut self) -> bool {
        let subject = self.subject;
        self.world
            .run_until(STEP_TIME, |world| world.has_head(subject))
    }

    fn wait(&mut self, millis: u64) -> bool {
        self.world.run_for(Span::from_millis(millis));
        true
    }

    fn write_in_flight(&mut self, table: &str) -> bool {
        self.world
            .run_until(STEP_TIME, |world| world.is_writing(table))
    }

    fn handed_over(&mut self) -> bool {
        self.world
            .run_until(STEP_TIME, |world| world.handovers() > 0)
    }

    fn change_account(&mut self) -> bool {
        self.world.schedule_fault(Span::ZERO, Fault::RaceOperators);
        self.wait(1)
    }

    fn stop_entry(&mut self) -> bool {
        let slot = self.entry();
        self.world
            .schedule_fault(Span::ZERO, Fault::StopEntry(slot));
        true
    }

    fn cut_callers(&mut self) -> bool {
        let slot = self.entry();
        self.world
            .schedule_fault(Span::ZERO, Fault::BreakCallers(slot));
        true
    }

    fn reclaim_backend(&mut self) -> bool {
        let fault = Fault::Reclaim(self.backend(), Span::from_seconds(10));
        self.world.schedule_fault(Span::ZERO, fault);
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

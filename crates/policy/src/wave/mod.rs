//! Plans what happens to running jobs when replicas are reclaimed, up to a whole zone at once.
//!
//! Guards against moving jobs in arbitrary order: long prompts that were costly to compute wait
//! behind short ones until the notice ends, and are then rerun, and all moves go to the first idle
//! replica. Instead, jobs that end within the notice finish where they are. For the rest, each
//! replica's link, which carries one transfer at a time, gets the selection that saves the most
//! tokens within its notice (a knapsack problem). The selected jobs of all links are ordered by
//! tokens saved per second of notice, and each reserves room at a target. Jobs that don't fit are
//! rerun at once, since waiting only adds to what must be recomputed. Jobs that must not be rerun
//! come first. The selection is exact but for rounding; picking jobs by tokens per second alone can
//! save as little as two thirds of the best, since a large job can leave a gap that nothing fits
//! into.
//!
//! The plan is pure; plan again whenever the state changes: a job that was left to finish and falls
//! behind is then moved after all. A plan costs 256 additions per job and a sort of the jobs.

mod pack;

use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use clock::Span;
use clock::Time;

use crate::configs::wave::Config;
use crate::decision::Transfer;
use crate::job;
use crate::replica;

use self::pack::Item;

/// A replica that is leaving.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// The replica.
    pub key: replica::Key,
    /// When it is gone.
    pub deadline: Time,
}

/// A job that runs on a leaving replica.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// The job.
    pub id: job::Id,
    /// Replica that it runs on.
    pub from: replica::Key,
    /// Model call or plain call; a plain call can only finish.
    pub kind: job::Kind,
    /// Tokens in its KV cache: prompt and generated.
    pub tokens: u32,
    /// Expected time until it ends.
    pub remaining: Span,
    /// Whether it may be rerun.
    pub idempotent: bool,
}

/// A replica that stays, with its free capacity.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The replica.
    pub key: replica::Key,
    /// Number of jobs that it can take.
    pub slots: u32,
    /// Tokens of KV cache that it can take.
    pub tokens: u64,
}

/// Planned action for one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The job.
    pub job: job::Id,
    /// Replica that it runs on.
    pub from: replica::Key,
    /// The action.
    pub action: Action,
}

/// What to do with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Let it finish where it is.
    Finish,
    /// Move it to another replica.
    Move {
        /// Target replica.
        to: replica::Key,
        /// How the job is moved.
        transfer: Transfer,
        /// When the move starts.
        start: Time,
    },
    /// No target has room yet: let it run and plan again.
    Wait,
}

/// Plans the wave; returns the steps in the order in which they are due.
pub fn plan(
    config: &Config,
    now: Time,
    sources: &[Source],
    jobs: &[Running],
    targets: &[Target],
) -> Vec<Step> {
    let mut plan = Plan::new(config, now, sources, targets);
    let mut moving = Vec::new();
    for job in jobs {
        if plan.finishes_in_time(job) {
            plan.add(job, Action::Finish);
        } else if job.kind == job::Kind::Plain {
            plan.add(job, Action::Wait);
        } else {
            moving.push(*job);
        }
    }
    let ranked = plan.rank_all(moving).into_iter();
    let unplaced: Vec<Running> = ranked.filter(|job| !plan.transfer(job)).collect();
    for job in unplaced {
        plan.rerun(&job);
    }
    plan.steps.sort_by_key(|step| match step.action {
        Action::Move { start, .. } => start,
        Action::Finish | Action::Wait => now,
    });
    plan.steps
}

/// Returns when the last transfer out of a source must have ended.
///
/// The margin is bounded by a share of the notice: a fixed second would leave nothing of a notice
/// of half a second, and streams would be rerun though their KV cache could still be moved.
fn transfer_deadline(config: &Config, now: Time, deadline: Time) -> Time {
    let notice = deadline.since(now);
    now + (notice - config.margin.min(notice.scaled(config.margin_share)))
}

/// A plan under construction.
struct Plan<'a> {
    config: &'a Config,
    now: Time,
    links: BTreeMap<replica::Key, Link>,
    /// Free slots, free tokens and key of the targets with room, the one with the most free slots
    /// on top.
    targets: BinaryHeap<(u32, u64, replica::Key)>,
    steps: Vec<Step>,
}

/// Order of transfers; the greatest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// It must not be rerun.
    must_move: bool,
    /// It belongs to the best selection of its link.
    selected: bool,
    /// Tokens saved per second of notice.
    tokens_per_second: u64,
}

/// Outgoing network link of one source.
struct Link {
    /// No transfer ends later.
    deadline: Time,
    /// When each lane becomes free.
    lanes: Vec<Time>,
}

impl<'a> Plan<'a> {
    fn new(config: &'a Config, now: Time, sources: &[Source], targets: &[Target]) -> Plan<'a> {
        let link = |source: &Source| Link {
            deadline: transfer_deadline(config, now, source.deadline),
            lanes: vec![now; config.lanes.max(1)],
        };
        let has_slots = |target: &&Target| target.slots > 0;
        Plan {
            config,
            now,
            links: sources
                .iter()
                .map(|source| (source.key, link(source)))
                .collect(),
            targets: targets
                .iter()
                .filter(has_slots)
                .map(|target| (target.slots, target.tokens, target.key))
                .collect(),
            steps: Vec::new(),
        }
    }

    fn finishes_in_time(&self, job: &Running) -> bool {
        self.links.get(&job.from).is_some_and(|link| {
            self.now + job.remaining.scaled(self.config.finish_factor) <= link.deadline
        })
    }

    /// Returns the jobs in the order in which they are considered for a transfer.
    fn rank_all(&self, jobs: Vec<Running>) -> Vec<Running> {
        let mut by_link: BTreeMap<replica::Key, Vec<Running>> = BTreeMap::new();
        for job in jobs {
            by_link.entry(job.from).or_default().push(job);
        }
        let mut ranked: Vec<(Rank, Running)> = by_link
            .into_iter()
            .flat_map(|(from, jobs)| self.rank(from, jobs))
            .collect();
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().map(|(_, job)| job).collect()
    }

    fn rank(&self, from: replica::Key, jobs: Vec<Running>) -> Vec<(Rank, Running)> {
        let Some(link) = self.links.get(&from) else {
            return Vec::new();
        };
        let notice = link.deadline.since(self.now).as_millis() * link.lanes.len() as u64;
        let items: Vec<Item> = jobs.iter().map(|job| self.item(job)).collect();
        let selected = pack::select(&items, notice);
        let rank = |(job, selected): (Running, bool)| {
            let rank = Rank {
                must_move: !job.idempotent,
                selected,
                tokens_per_second: u64::from(job.tokens) * 1_000
                    / self.transfer_time(&job).as_millis().max(1),
            };
            (rank, job)
        };
        jobs.into_iter().zip(selected).map(rank).collect()
    }

    fn item(&self, job: &Running) -> Item {
        let bonus = match job.idempotent {
            true => 0,
            // More than all tokens of a link together.
            false => 1 << 40,
        };
        Item {
            duration_ms: self.transfer_time(job).as_millis(),
            value: u64::from(job.tokens) + bonus,
        }
    }

    fn transfer_time(&self, job: &Running) -> Span {
        let transmission = f64::from(job.tokens) / self.config.tokens_per_milli.max(f64::EPSILON);
        self.config.setup + Span::from_millis(transmission.ceil() as u64)
    }

    /// Plans a KV transfer; returns false if the notice or the targets don't allow it.
    fn transfer(&mut self, job: &Running) -> bool {
        let duration = self.transfer_time(job);
        let Some(link) = self.links.get_mut(&job.from) else {
            return false;
        };
        let Some(lane) = link.lanes.iter_mut().min() else {
            return false;
        };
        let start = *lane;
        if start + duration > link.deadline {
            return false;
        }
        let Some(to) = reserve_target(&mut self.targets, job.tokens) else {
            return false;
        };
        *lane = start + duration;
        let transfer = Transfer::Kv;
        self.add(
            job,
            Action::Move {
                to,
                transfer,
                start,
            },
        );
        true
    }

    fn rerun(&mut self, job: &Running) {
        let to = match job.idempotent && self.config.reruns {
            true => reserve_target(&mut self.targets, job.tokens),
            false => None,
        };
        let transfer = Transfer::Rerun;
        let start = self.now;
        self.add(
            job,
            to.map_or(Action::Wait, |to| Action::Move {
                to,
                transfer,
                start,
            }),
        );
    }

    fn add(&mut self, job: &Running, action: Action) {
        self.steps.push(Step {
            job: job.id,
            from: job.from,
            action,
        });
    }
}

/// Reserves room for a job at the target with the most free slots that has the memory for it.
fn reserve_target(
    targets: &mut BinaryHeap<(u32, u64, replica::Key)>,
    tokens: u32,
) -> Option<replica::Key> {
    let mut without_memory = Vec::new();
    let mut found = None;
    while let Some((slots, memory, key)) = targets.pop() {
        if memory < u64::from(tokens) {
            without_memory.push((slots, memory, key));
            continue;
        }
        if slots > 1 {
            targets.push((slots - 1, memory - u64::from(tokens), key));
        }
        found = Some(key);
        break;
    }
    targets.extend(without_memory);
    found
}

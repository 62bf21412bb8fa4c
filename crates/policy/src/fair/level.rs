//! Queue of the waiting jobs of one priority.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::account;
use crate::fair::Cost;
use crate::fair::Entrant;
use crate::fair::Head;
use crate::fair::Place;
use crate::job;
use crate::size::Class;

/// Units of virtual time per token at weight one.
const UNITS_PER_TOKEN: u64 = 1_024;
/// Initial position; jobs put back in front of their account's others count down from it.
const INITIAL_POSITION: i64 = 0;

/// Start-time fair queueing over accounts.
#[derive(Debug)]
pub(super) struct Level {
    enabled: bool,
    priority: u8,
    /// Invariant: an account is in `ready[class]` under its lane's tag exactly while it has jobs of
    /// that class.
    ready: [BTreeSet<(u64, account::Key)>; 2],
    lanes: BTreeMap<account::Key, Lane>,
    /// Highest tag taken so far.
    virtual_time: u64,
    /// Total cost of the waiting jobs.
    cost: Cost,
    /// Total weight of the lanes with waiting jobs.
    active_weight: u64,
    waiting: usize,
    next_position: i64,
    front_position: i64,
}

/// One account's part of the queue.
#[derive(Debug)]
struct Lane {
    weight: u64,
    tag: u64,
    cost: Cost,
    jobs: [BTreeMap<i64, Item>; 2],
}

/// A waiting job.
#[derive(Clone, Copy, Debug)]
struct Item {
    id: job::Id,
    cost: Cost,
}

impl Level {
    /// Creates an empty level; unless `enabled`, it serves all accounts in order of arrival.
    pub fn new(enabled: bool, priority: u8) -> Level {
        Level {
            enabled,
            priority,
            ready: [BTreeSet::new(), BTreeSet::new()],
            lanes: BTreeMap::new(),
            virtual_time: 0,
            cost: 0,
            active_weight: 0,
            waiting: 0,
            next_position: INITIAL_POSITION + 1,
            front_position: INITIAL_POSITION,
        }
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns the waiting jobs in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = job::Id> {
        let lanes = self.lanes.values().flat_map(|lane| &lane.jobs);
        lanes.flat_map(|jobs| jobs.values().map(|item| item.id))
    }

    /// Returns the total cost of the waiting jobs.
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// Appends a job to the others of its account and class.
    pub fn push(&mut self, entrant: &Entrant) -> Place {
        self.next_position += 1;
        self.insert(entrant, self.next_position)
    }

    /// Puts a job that was taken before in front of the others of its account and class.
    pub fn push_front(&mut self, entrant: &Entrant) -> Place {
        self.front_position -= 1;
        self.insert(entrant, self.front_position)
    }

    /// Removes a job without charging for it.
    pub fn remove(&mut self, place: Place) {
        self.with_lane(place.account, |lane| {
            if let Some(item) = lane.jobs[place.class as usize].remove(&place.position) {
                lane.cost -= item.cost;
            }
        });
    }

    /// Removes a job to run it, and charges its account.
    pub fn take(&mut self, place: Place) {
        let virtual_time = &mut 0;
        self.with_lane(place.account, |lane| {
            *virtual_time = lane.tag;
            let Some(item) = lane.jobs[place.class as usize].remove(&place.position) else {
                return;
            };
            lane.cost -= item.cost;
            lane.tag += item.cost * UNITS_PER_TOKEN / lane.weight;
        });
        self.virtual_time = self.virtual_time.max(*virtual_time);
    }

    /// Corrects the charge of a job that ended from `estimated` to `actual`.
    pub fn settle(&mut self, account: account::Key, estimated: Cost, actual: Cost) {
        self.with_lane(account, |lane| {
            let more = actual.saturating_sub(estimated) * UNITS_PER_TOKEN / lane.weight;
            let less = estimated.saturating_sub(actual) * UNITS_PER_TOKEN / lane.weight;
            lane.tag = (lane.tag + more).saturating_sub(less);
        });
    }

    /// Returns how many jobs of the account are waiting.
    pub fn waiting_jobs(&self, account: account::Key) -> usize {
        self.lanes.get(&account).map_or(0, Lane::len)
    }

    /// Returns the estimated cost that is served before a new job of the account.
    ///
    /// The account's own queue, and the service it received in advance, drain at its share of the
    /// rate; but nothing waits for more than the whole queue.
    pub fn cost_ahead(&self, account: account::Key, weight: u32) -> Cost {
        if !self.enabled {
            return self.cost;
        }
        let weight = u64::from(weight.max(1));
        let (own, advance, active) = match self.lanes.get(&account) {
            Some(lane) => {
                let advance =
                    lane.tag.saturating_sub(self.virtual_time) * lane.weight / UNITS_PER_TOKEN;
                (lane.cost, advance, !lane.is_empty())
            }
            None => (0, 0, false),
        };
        let others = self.active_weight
            - if active {
                weight.min(self.active_weight)
            } else {
                0
            };
        let shared = (own + advance) as u128 * u128::from(others + weight) / u128::from(weight);
        self.cost.min(shared.min(u128::from(u64::MAX)) as u64)
    }

    /// Returns the first job that isn't skipped of at most `limit` lanes of a class, in the order in which to
    /// serve them.
    pub fn heads(
        &self,
        class: Class,
        limit: usize,
        skip: impl Fn(job::Id) -> bool,
    ) -> impl Iterator<Item = (u64, Head)> {
        self.ready[class as usize]
            .iter()
            .take(limit)
            .filter_map(move |(tag, account)| {
                let lane = self.lanes.get(account)?;
                let mut jobs = lane.jobs[class as usize].iter();
                let (position, item) = jobs.find(|(_, item)| !skip(item.id))?;
                let place = Place {
                    account: *account,
                    class,
                    priority: self.priority,
                    position: *position,
                };
                Some((*tag, Head { id: item.id, place }))
            })
    }

    fn insert(&mut self, entrant: &Entrant, position: i64) -> Place {
        // When disabled, all accounts share one lane, in which positions keep the order of arrival.
        let account = match self.enabled {
            true => entrant.account,
            false => account::Key(0),
        };
        let class = entrant.class;
        let item = Item {
            id: entrant.id,
            cost: entrant.cost,
        };
        let virtual_time = self.virtual_time;
        self.lanes
            .entry(account)
            .or_insert_with(|| Lane::new(virtual_time));
        self.with_lane(account, |lane| {
            if lane.is_empty() {
                lane.tag = lane.tag.max(virtual_time);
                lane.weight = u64::from(entrant.weight.max(1));
            }
            lane.cost += item.cost;
            lane.jobs[class as usize].insert(position, item);
        });
        Place {
            priority: self.priority,
            position,
            account,
            class,
        }
    }

    /// Changes a lane and updates the totals and the order.
    fn with_lane(&mut self, account: account::Key, change: impl FnOnce(&mut Lane)) {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return;
        };
        let was_empty = lane.is_empty();
        self.cost -= lane.cost;
        self.waiting -= lane.len();
        if !was_empty {
            self.active_weight -= lane.weight;
        }
        for class in [Class::Short, Class::Long] {
            self.ready[class as usize].remove(&(lane.tag, account));
        }
        change(lane);
        self.cost += lane.cost;
        self.waiting += lane.len();
        if !lane.is_empty() {
            self.active_weight += lane.weight;
        }
        for class in [Class::Short, Class::Long] {
            if !lane.jobs[class as usize].is_empty() {
                self.ready[class as usize].insert((lane.tag, account));
            }
        }
    }
}

impl Lane {
    fn new(tag: u64) -> Lane {
        Lane {
            weight: 1,
            tag,
            cost: 0,
            jobs: [BTreeMap::new(), BTreeMap::new()],
        }
    }

    fn len(&self) -> usize {
        self.jobs[0].len() + self.jobs[1].len()
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

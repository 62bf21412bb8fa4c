//! Fair queueing over client accounts by weighted token cost.
//!
//! Load pattern: one account sends many times its share. Served in order of arrival, its requests
//! fill the queue and everybody waits behind them, the account with three requests an hour as long
//! as the one that caused the wait.
//!
//! Start-time fair queueing: each account has a tag, the virtual time up to which it has been
//! served. The account with the lowest tag goes next, and its tag rises by cost over weight. The
//! cost is an estimate when the job starts and is corrected by what was really generated, so
//! a caller gains nothing by understating. An account that was idle begins at the present virtual
//! time: it neither saves up service nor owes for it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::account;
use crate::job;
use crate::size::Class;

/// Cost in tokens, generated ones weighted.
pub type Cost = u64;

/// Virtual time has this many units for one token at weight one.
const SCALE: u64 = 1_024;
/// Position that every job put back in front of its account's others counts down from.
const FIRST: i64 = 0;

/// The jobs of one pool that wait.
#[derive(Debug)]
pub struct Queue {
    enabled: bool,
    /// Invariant: an account is in `ready[class]` under its lane's tag exactly while it has jobs of
    /// that class.
    ready: [BTreeSet<(u64, account::Key)>; 2],
    lanes: BTreeMap<account::Key, Lane>,
    /// Tag of what was taken last; never falls.
    virtual_time: u64,
    /// Sum over the lanes.
    cost: Cost,
    /// Sum of the weights of lanes with jobs.
    active_weight: u64,
    waiting: usize,
    next: i64,
    front: i64,
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

/// Where a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    position: i64,
    /// In whose lane.
    pub account: account::Key,
    /// In which class.
    pub class: Class,
}

/// The next job of a lane.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// Which job.
    pub id: job::Id,
    /// Where it waits.
    pub place: Place,
}

impl Queue {
    /// An empty queue; not `enabled`, it keeps the order of arrival over all accounts.
    pub fn new(enabled: bool) -> Queue {
        Queue {
            enabled,
            ready: [BTreeSet::new(), BTreeSet::new()],
            lanes: BTreeMap::new(),
            virtual_time: 0,
            cost: 0,
            active_weight: 0,
            waiting: 0,
            next: FIRST + 1,
            front: FIRST,
        }
    }

    /// Jobs waiting.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Cost of all that waits.
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// Puts a job behind the others of its account and class.
    pub fn push(
        &mut self,
        account: account::Key,
        weight: u32,
        class: Class,
        id: job::Id,
        cost: Cost,
    ) -> Place {
        self.next += 1;
        self.insert(account, weight, class, self.next, Item { id, cost })
    }

    /// Puts a job that was taken before in front of the others of its account and class.
    pub fn push_front(
        &mut self,
        account: account::Key,
        weight: u32,
        class: Class,
        id: job::Id,
        cost: Cost,
    ) -> Place {
        self.front -= 1;
        self.insert(account, weight, class, self.front, Item { id, cost })
    }

    /// Takes a job out without charging for it.
    pub fn remove(&mut self, place: Place) {
        self.with_lane(place.account, |lane| {
            if let Some(item) = lane.jobs[place.class as usize].remove(&place.position) {
                lane.cost -= item.cost;
            }
        });
    }

    /// Takes a job out to run it and charges its account.
    pub fn take(&mut self, place: Place) {
        let virtual_time = &mut 0;
        self.with_lane(place.account, |lane| {
            *virtual_time = lane.tag;
            let Some(item) = lane.jobs[place.class as usize].remove(&place.position) else {
                return;
            };
            lane.cost -= item.cost;
            lane.tag += item.cost * SCALE / lane.weight;
        });
        self.virtual_time = self.virtual_time.max(*virtual_time);
    }

    /// Corrects the charge of a job that ended: it had been charged `estimated`.
    pub fn settle(&mut self, account: account::Key, estimated: Cost, actual: Cost) {
        self.with_lane(account, |lane| {
            let more = actual.saturating_sub(estimated) * SCALE / lane.weight;
            let less = estimated.saturating_sub(actual) * SCALE / lane.weight;
            lane.tag = (lane.tag + more).saturating_sub(less);
        });
    }

    /// Cost that will be served before a new job of the account, as far as its share tells.
    ///
    /// The account's own queue, and what it has had in advance, drain at its share of the rate; but
    /// nothing waits for more than the whole queue.
    pub fn ahead(&self, account: account::Key, weight: u32) -> Cost {
        if !self.enabled {
            return self.cost;
        }
        let weight = u64::from(weight.max(1));
        let (own, advance, active) = match self.lanes.get(&account) {
            Some(lane) => {
                let advance = lane.tag.saturating_sub(self.virtual_time) * lane.weight / SCALE;
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

    /// The heads of at most `most` lanes of a class in the order in which they should be served.
    pub fn heads(&self, class: Class, most: usize) -> impl Iterator<Item = (u64, Head)> {
        self.ready[class as usize]
            .iter()
            .take(most)
            .filter_map(move |(tag, account)| {
                let lane = self.lanes.get(account)?;
                let (position, item) = lane.jobs[class as usize].first_key_value()?;
                let place = Place {
                    account: *account,
                    class,
                    position: *position,
                };
                Some((*tag, Head { id: item.id, place }))
            })
    }

    fn insert(
        &mut self,
        account: account::Key,
        weight: u32,
        class: Class,
        position: i64,
        item: Item,
    ) -> Place {
        // Not enabled, all share one lane, in which positions keep the order of arrival.
        let account = if self.enabled {
            account
        } else {
            account::Key(0)
        };
        let virtual_time = self.virtual_time;
        self.lanes
            .entry(account)
            .or_insert_with(|| Lane::new(virtual_time));
        self.with_lane(account, |lane| {
            if lane.is_empty() {
                lane.tag = lane.tag.max(virtual_time);
                lane.weight = u64::from(weight.max(1));
            }
            lane.cost += item.cost;
            lane.jobs[class as usize].insert(position, item);
        });
        Place {
            account,
            class,
            position,
        }
    }

    /// Changes a lane and keeps the sums and the order in step with it.
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

/// An account's mean output length, from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: Option<f64>,
}

impl Estimate {
    /// Output tokens to expect of a job that may generate `most`.
    pub fn expect(&self, most: u32) -> u32 {
        let mean = self.mean.unwrap_or(f64::from(most) / 2.0);
        (mean as u32).clamp(1, most.max(1))
    }

    /// Notes a whole answer.
    pub fn note(&mut self, tokens: u32, smoothing: f64) {
        let tokens = f64::from(tokens);
        let mean = self.mean.get_or_insert(tokens);
        *mean += smoothing * (tokens - *mean);
    }
}

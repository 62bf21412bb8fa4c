//! Rate-limited queue of calls, the most urgent first.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;

use crate::budget::Budget;
use crate::budget::Priority;
use crate::call::Call;
use crate::configs::budget::Settings;

/// Interval at which queued calls check the budget again.
const RETRY_INTERVAL: Span = Span::from_millis(20);

/// Queued calls, each with its requester's identifier.
#[derive(Clone, Debug)]
pub struct Throttle<T> {
    budget: Budget,
    queued: BTreeMap<Priority, VecDeque<(T, Call)>>,
    max_queued: usize,
}

impl<T> Throttle<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Throttle<T> {
        Throttle {
            budget: Budget::new(settings),
            queued: BTreeMap::new(),
            max_queued: settings.queue,
        }
    }

    /// Sets the number of live entries that share the service.
    pub fn set_members(&mut self, now: Time, members: usize) {
        self.budget.set_members(now, members);
    }

    /// Queues a call, or returns it if the queue of its priority is full, so that the requester learns
    /// immediately that it was not made.
    pub fn push(&mut self, priority: Priority, requester: T, call: Call) -> Option<(T, Call)> {
        let queue = self.queued.entry(priority).or_default();
        if queue.len() >= self.max_queued {
            return Some((requester, call));
        }
        queue.push_back((requester, call));
        None
    }

    /// Returns the next call that the budget permits now.
    pub fn pop(&mut self, now: Time) -> Option<(T, Call)> {
        for (priority, queue) in &mut self.queued {
            let Some((_, call)) = queue.front() else {
                continue;
            };
            if self.budget.take(now, call, *priority) {
                return queue.pop_front();
            }
        }
        None
    }

    /// Returns when [`Throttle::pop`] should be called next, or `None` if the queue is empty.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let has_queued = self.queued.values().any(|queue| !queue.is_empty());
        has_queued.then(|| now + RETRY_INTERVAL)
    }
}

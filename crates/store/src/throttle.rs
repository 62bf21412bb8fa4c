//! Calls that wait for their turn within the budget, the most urgent first.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Span;
use clock::Time;

use crate::budget::Budget;
use crate::budget::Priority;
use crate::call::Call;
use crate::configs::budget::Settings;

/// Time between two looks at the budget while calls wait.
const RETRY_INTERVAL: Span = Span::from_millis(20);

/// Waiting calls, each with whatever names its asker.
#[derive(Clone, Debug)]
pub struct Throttle<T> {
    budget: Budget,
    waiting: BTreeMap<Priority, VecDeque<(T, Call)>>,
    max_queued: usize,
}

impl<T> Throttle<T> {
    /// Nothing waits.
    pub fn new(settings: Settings) -> Throttle<T> {
        Throttle {
            budget: Budget::new(settings),
            waiting: BTreeMap::new(),
            max_queued: settings.queue,
        }
    }

    /// How many live entries share the service.
    pub fn set_members(&mut self, now: Time, members: usize) {
        self.budget.set_members(now, members);
    }

    /// Adds a call; gives it back if too many wait, so that its asker is told at once that it was
    /// not made.
    pub fn push(&mut self, priority: Priority, requester: T, call: Call) -> Option<(T, Call)> {
        let queue = self.waiting.entry(priority).or_default();
        if queue.len() >= self.max_queued {
            return Some((requester, call));
        }
        queue.push_back((requester, call));
        None
    }

    /// The next call that may be made now.
    pub fn pop(&mut self, now: Time) -> Option<(T, Call)> {
        for (priority, queue) in &mut self.waiting {
            let Some((_, call)) = queue.front() else {
                continue;
            };
            if self.budget.take(now, call, *priority) {
                return queue.pop_front();
            }
        }
        None
    }

    /// When [`Throttle::pop`] wants to be called next; none while nothing waits.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let has_waiting = self.waiting.values().any(|queue| !queue.is_empty());
        has_waiting.then(|| now + RETRY_INTERVAL)
    }
}

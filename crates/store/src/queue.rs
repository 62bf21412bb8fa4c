//! An event queue in virtual time, for tests of state machines.

use std::collections::BTreeMap;

use clock::Time;

/// Scheduled events, ordered by time and then by insertion.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: BTreeMap<(Time, u64), T>,
    next: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue {
            items: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Schedules an event.
    pub fn push(&mut self, at: Time, item: T) {
        self.items.insert((at, self.next), item);
        self.next += 1;
    }

    /// Removes and returns the first event if it is due by `until`.
    pub fn pop(&mut self, until: Time) -> Option<(Time, T)> {
        let entry = self.items.first_entry()?;
        let at = entry.key().0;
        (at <= until).then(|| (at, entry.remove()))
    }
}
